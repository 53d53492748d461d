/// \file
/// Reconciliation: compares recorded placements with what a worker's heartbeat lists.
#pragma once

#include <cstdint>

#include "coordination/election.hpp"
#include "state/cluster_state.hpp"
#include "state/machine.hpp"
#include "state/placement.hpp"
#include "wire/worker_messages.hpp"
#include "workers/exchange_kind.hpp"

namespace dunebridge::workers {

/// Finds out which recorded placements are not on their machine, and removes them.
///
/// A placement that the heartbeat does not list is proved gone if the heartbeat is newer than any
/// before it, and one of these holds:
///  - The worker made the heartbeat after it had seen the machine's current fencing token. It then
///    refuses every command with an older token, so that none still under way can start the task;
///    and no command with the current token is under way that starts it, neither a direct command
///    nor the reply to a heartbeat.
///  - The heartbeat is of a later agent epoch than the one to which the start was sent: a worker
///    forgets its tasks when its lease ends, begins a new epoch, and takes no command of an earlier
///    one. Only this term's leader must have been able to send the start; what an earlier leader
///    may have sent counts until the worker has shown a token of this term.
class Reconciler {
  public:
    Reconciler(const coordination::Election& election, state::ClusterState& cluster_state)
        : election_(election), state_(cluster_state) {}

    /// Reconciles the machine's placements with a heartbeat that has been applied to its worker
    /// status already.
    void reconcile(state::Machine& machine, const wire::WorkerHeartbeat& heartbeat,
                   ExchangeKind exchange);

  private:
    /// What a heartbeat tells of a placement.
    enum class Finding : std::uint8_t {
        unknown,    ///< nothing: a command that starts the task may be under way
        present,    ///< the task is on the worker
        gone,       ///< the task is not on the worker, and nothing can start it any more
        start_lost  ///< the command that starts it did not arrive, and may be sent again
    };

    Finding assess(const state::Machine& machine, const state::Placement& placement,
                   const wire::WorkerHeartbeat& heartbeat, ExchangeKind exchange) const;
    bool was_forgotten(const state::Placement& placement,
                       const wire::WorkerHeartbeat& heartbeat) const;
    bool is_of_this_term(const state::Placement& placement) const;

    const coordination::Election& election_;
    state::ClusterState& state_;
};

}  // namespace dunebridge::workers
