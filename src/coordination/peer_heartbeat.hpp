/// \file
/// The heartbeat that controllers send each other, and its encoding.
///
/// Its layout is that of earlier versions, byte for byte (upgrade_test.cpp), as controllers of two
/// versions run side by side during an upgrade; unknown fields are ignored.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/types.hpp"
#include "coordination/cancellation_log.hpp"
#include "wire/codec.hpp"

namespace dunebridge::coordination {

/// How far a job is, by the leader's cluster state.
struct JobProgress {
    JobId id;
    std::uint64_t done = 0;     ///< Tasks that are done.
    std::uint64_t running = 0;  ///< Tasks that are running.
};

/// A controller's state, as it reports it to its peers. Not to be confused with a worker's
/// heartbeat (wire::WorkerHeartbeat).
struct PeerHeartbeat {
    ControllerName node;
    Term term;  ///< A leader's own term; of others the highest that they heard of.
    bool is_active_leader = false;
    bool kv_reachable = false;  ///< Whether the sender reaches the key-value store.
    CancellationLogSegment cancellations;
    std::uint64_t format = 2;           ///< Newest record format that the sender knows.
    std::vector<JobProgress> progress;  ///< Of a leader's jobs.
    /// Jobs that the leader takes to fail on every machine. Absent on the wire if there are none.
    std::vector<JobId> faulty_jobs;
};

/// Leaves out what goes over the limits of a message.
std::string encode(const PeerHeartbeat& heartbeat);
/// Throws wire::DecodeError.
PeerHeartbeat decode_peer_heartbeat(wire::Value body);

}  // namespace dunebridge::coordination
