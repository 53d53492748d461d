/// \file
/// Reconciliation of recorded placements with the tasks that workers' heartbeats list.
#pragma once

#include <cstdint>

#include "coordination/election.hpp"
#include "state/cluster_state.hpp"
#include "state/machine.hpp"
#include "state/placement.hpp"
#include "wire/worker_messages.hpp"
#include "workers/exchange_kind.hpp"

namespace dunebridge::workers {

/// Finds recorded placements whose tasks are not on their machine, and removes them.
///
/// A placement that a heartbeat does not list is known to have ended if the heartbeat is the newest
/// so far and one of these conditions holds:
///  - The worker had seen the machine's current fencing token when it built the heartbeat, and no
///    command with the current token that starts the task is in transit, neither in a direct
///    command nor in a heartbeat reply. Commands with an older token cannot start the task, as the
///    worker refuses them.
///  - The heartbeat belongs to a later agent epoch than the one to which the start command was
///    sent. When its lease ends, a worker forgets its tasks, begins a new epoch and refuses
///    commands for earlier epochs. This condition requires that only the leader of this term can
///    have sent the start command. An earlier leader may also have sent it unless this leader made
///    the placement or the worker has sent a token of this term.
class Reconciler {
  public:
    Reconciler(const coordination::Election& election, state::ClusterState& cluster_state)
        : election_(election), state_(cluster_state) {}

    /// Reconciles the machine's placements with the heartbeat. The caller must already have applied
    /// the heartbeat to the machine's worker status.
    void reconcile(state::Machine& machine, const wire::WorkerHeartbeat& heartbeat,
                   ExchangeKind exchange);

  private:
    /// What a heartbeat shows about a placement.
    enum class Finding : std::uint8_t {
        unknown,    ///< nothing: a command that starts the task may be in transit
        present,    ///< the task is on the worker
        gone,       ///< the task is not on the worker, and no command can start it any more
        start_lost  ///< the start command did not arrive and may be sent again
    };

    Finding classify(const state::Machine& machine, const state::Placement& placement,
                     const wire::WorkerHeartbeat& heartbeat, ExchangeKind exchange) const;
    bool was_forgotten(const state::Placement& placement,
                       const wire::WorkerHeartbeat& heartbeat) const;
    bool is_of_this_term(const state::Placement& placement) const;

    const coordination::Election& election_;
    state::ClusterState& state_;
};

}  // namespace dunebridge::workers
