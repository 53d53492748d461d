/// \file
/// Heartbeat that controllers send to each other, and its encoding.
///
/// The encoding is byte for byte that of earlier versions (checked in upgrade_test.cpp), because
/// controllers of two versions run side by side during an upgrade. Unknown fields are ignored.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/types.hpp"
#include "coordination/cancellation_log.hpp"
#include "wire/codec.hpp"

namespace dunebridge::coordination {

/// Progress of a job according to the leader's cluster state.
struct JobProgress {
    JobId id;
    std::uint64_t done = 0;     ///< Number of tasks that are done.
    std::uint64_t running = 0;  ///< Number of tasks that are running.
};

/// State that a controller reports to its peers. Not to be confused with the heartbeat of a worker
/// (wire::WorkerHeartbeat).
struct PeerHeartbeat {
    ControllerName node;
    Term term;  ///< A leader's own term; otherwise the highest term that the sender has received.
    /// Whether the sender is the leader and has loaded the cluster state.
    bool is_active_leader = false;
    bool kv_reachable = false;  ///< Whether the sender reaches the key-value store.
    CancellationLogSegment cancellations;
    std::uint64_t format = 2;           ///< Newest record format that the sender supports.
    std::vector<JobProgress> progress;  ///< Of the leader's jobs; empty from others.
    /// Jobs that, according to the leader, fail on every machine. The field is left out of the
    /// encoding if there are none.
    std::vector<JobId> faulty_jobs;
};

/// Returns the encoded heartbeat. Leaves out entries of `progress` and `faulty_jobs` that exceed
/// the limits; `cancellations` is encoded as a whole.
std::string encode(const PeerHeartbeat& heartbeat);
/// Decodes a heartbeat. Throws wire::DecodeError if the version is unknown, a required field is
/// missing or malformed, or there are too many cancellations.
PeerHeartbeat decode_peer_heartbeat(wire::Value body);

}  // namespace dunebridge::coordination
