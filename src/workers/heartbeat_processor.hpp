/// \file
/// Processing of workers' heartbeats.
#pragma once

#include "coordination/election.hpp"
#include "sansio/context.hpp"
#include "state/cluster_state.hpp"
#include "state/machine.hpp"
#include "wire/worker_messages.hpp"
#include "workers/exchange_kind.hpp"
#include "workers/reconciler.hpp"
#include "workers/task_status_processor.hpp"
#include "workers/worker_leases.hpp"

namespace dunebridge::workers {

/// Applies workers' heartbeats to the cluster state, whether they arrive as requests or in replies
/// to direct commands.
///
/// A heartbeat updates the worker's lease and status, may announce that the cloud will preempt the
/// machine, and shows which tasks are on the worker and which recorded placements are not. The
/// objects passed to the constructor must outlive the processor.
class HeartbeatProcessor {
  public:
    HeartbeatProcessor(sansio::Context& context, coordination::Election& election,
                       state::ClusterState& cluster_state, const WorkerLeases& leases,
                       OnTaskCompleted on_task_completed);

    /// Applies the heartbeat, unless one that is as new or newer has already been applied. Returns
    /// false, without applying it, if its token is newer than this leader's; the election is then
    /// notified of the newer term.
    bool apply(state::Machine& machine, const wire::WorkerHeartbeat& heartbeat,
               ExchangeKind exchange);

  private:
    void update_worker_status(state::Machine& machine, const wire::WorkerHeartbeat& heartbeat);
    void apply_preemption_notice(state::Machine& machine, Millis until_preemption);

    sansio::Context& context_;
    coordination::Election& election_;
    state::ClusterState& state_;
    const WorkerLeases& leases_;
    TaskStatusProcessor task_status_processor_;
    Reconciler reconciler_;
};

}  // namespace dunebridge::workers
