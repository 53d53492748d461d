// Conditions on a machine's worker and on its tasks that need nothing but the ledger's model.
#pragma once

#include <cstdint>

#include "state/model.hpp"

namespace dunebridge::workers {

// How a report or orders travel.
enum class ExchangeKind : std::uint8_t {
    heartbeat,      // a report that the worker sends, and the answer to it
    direct_command  // a command that the leader sends, and the answer to it
};

inline bool must_stop(const state::Placement& placement) {
    return placement.stopping || placement.job->state == state::JobState::terminal ||
           placement.job->tasks[placement.index].done;
}

// No command for it has left this leader, and the worker has not shown it.
inline bool never_sent(const state::Placement& placement) {
    return placement.committed && placement.sent == state::StartDelivery::not_sent &&
           !placement.seen;
}

}  // namespace dunebridge::workers
