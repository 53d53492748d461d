/// \file
/// Predicates on placements, and the removal of the placements that satisfy a predicate.
#pragma once

#include <vector>

#include "state/cluster_state.hpp"
#include "state/job.hpp"
#include "state/machine.hpp"
#include "state/placement.hpp"

namespace dunebridge::workers {

/// Returns true if the placement's task must no longer run: its stop was requested, it is done, or
/// its job is terminal.
inline bool must_stop(const state::Placement& placement) {
    const auto& job = *placement.job;
    return placement.stop.requested || job.state == state::JobState::terminal ||
           job.tasks[placement.index].done;
}

/// Returns true if the placement is committed but its task is certainly not on the worker: no start
/// command that may have been executed was sent, and no heartbeat has listed the task.
inline bool was_never_sent(const state::Placement& placement) {
    return placement.is_committed() && placement.start.delivery == state::StartDelivery::not_sent &&
           !placement.observed.seen;
}

/// Removes the machine's placements that satisfy `condition`. The caller must have proof that their
/// tasks are not on the worker.
template <class Condition>
void remove_placements_if(state::ClusterState& cluster_state, state::Machine& machine,
                          Condition condition) {
    std::vector<state::PlacementKey> keys;
    for (const auto& [key, placement] : machine.placements) {
        if (condition(placement)) keys.push_back(key);
    }
    for (const auto& key : keys) cluster_state.remove_placement(machine, key);
}

}  // namespace dunebridge::workers
