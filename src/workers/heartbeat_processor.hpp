/// \file
/// Applies workers' heartbeats to the cluster state.
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

/// Takes in a heartbeat, whichever way it came: the worker's lease and status, a preemption notice,
/// the tasks that it lists, and the placements that it lacks.
class HeartbeatProcessor {
  public:
    HeartbeatProcessor(sansio::Context& context, coordination::Election& election,
                       state::ClusterState& cluster_state, const WorkerLeases& leases,
                       OnTaskCompleted on_task_completed);

    /// Applies the heartbeat, unless it is older than one that has been applied. Returns false if
    /// it shows that this leader has been superseded, which gives up the leadership.
    bool apply(state::Machine& machine, const wire::WorkerHeartbeat& heartbeat,
               ExchangeKind exchange);

  private:
    void update_worker(state::Machine& machine, const wire::WorkerHeartbeat& heartbeat);
    void apply_preemption_notice(state::Machine& machine, Millis until_preemption);

    sansio::Context& context_;
    coordination::Election& election_;
    state::ClusterState& state_;
    const WorkerLeases& leases_;
    TaskStatusProcessor task_status_processor_;
    Reconciler reconciler_;
};

}  // namespace dunebridge::workers
