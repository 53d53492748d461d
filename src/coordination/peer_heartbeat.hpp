// The message with which controllers keep each other informed. Its layout is that of earlier
// versions, byte for byte (upgrade_test.cpp); unknown fields are ignored.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/types.hpp"
#include "coordination/cancellation_log.hpp"
#include "wire/codec.hpp"

namespace dunebridge::coordination {

// How far a job is, by the leader's ledger.
struct JobProgress {
    JobId id;
    std::uint64_t done = 0;
    std::uint64_t running = 0;
};

// A controller's state, as it reports it.
struct PeerHeartbeat {
    ControllerName node;
    Term term;
    bool leads = false;
    bool kv_reachable = false;
    CancellationLogSegment cancellations;
    std::uint64_t format = 2;  // newest format of the ledger that the node knows
    std::vector<JobProgress> progress;
    // Jobs that the leader takes to fail on every machine. Absent on the wire while there are none.
    std::vector<JobId> faulty_jobs;
};
std::string encode(const PeerHeartbeat& heartbeat);
PeerHeartbeat decode_peer_heartbeat(wire::Value body);  // throws wire::DecodeError

}  // namespace dunebridge::coordination
