// Applies workers' reports to the ledger: which tasks run, which have exited, and which are proved
// gone.
//
// A report proves that a recorded placement is not on its machine if it is newer than any before
// it and
//  - it was made after the worker has seen this machine's current token, and it lacks the task or
//    shows it exited; or
//  - it is of a later session than the one that the task was sent to, and only this term can have
//    sent it there: the worker forgets its tasks when its lease ends.
#pragma once

#include <cstdint>
#include <functional>
#include <vector>

#include "coordination/election.hpp"
#include "sansio/context.hpp"
#include "state/cluster_state.hpp"
#include "state/model.hpp"
#include "wire/messages.hpp"
#include "workers/failure_attribution.hpp"
#include "workers/worker_conditions.hpp"

namespace dunebridge::workers {

// A task that is done, for what is learnt from run times.
struct CompletedTask {
    const state::Job* job = nullptr;
    const state::Machine* machine = nullptr;
    double ran_s = 0;
};

class HeartbeatProcessor {
  public:
    HeartbeatProcessor(sansio::Context& context, coordination::Election& election,
                       state::ClusterState& cluster_state,
                       std::function<void(const CompletedTask&)> on_task_completed);

    // Returns false if the report shows that this leader has been superseded. An older report than
    // the last changes nothing.
    bool apply(state::Machine& machine, const wire::WorkerHeartbeat& heartbeat,
               ExchangeKind exchange);

  private:
    // What follows from a report for a placement.
    enum class Finding : std::uint8_t { unknown, gone, start_lost };

    void update_lease(state::Machine& machine, const wire::WorkerHeartbeat& heartbeat);
    void update_worker(state::Machine& machine, const wire::WorkerHeartbeat& heartbeat);
    void apply_preemption_notice(state::Machine& machine, double eviction_s);
    void apply_listed_tasks(state::Machine& machine, const wire::WorkerHeartbeat& heartbeat);
    void apply_present_task(state::Machine& machine, const wire::WorkerHeartbeat& heartbeat,
                            const wire::TaskStatus& task, state::Placement* placement);
    void apply_exited(state::Machine& machine, const wire::TaskStatus& task,
                      state::Placement* placement, const std::vector<state::ExitedTask>& known);
    void reconcile(state::Machine& machine, const wire::WorkerHeartbeat& heartbeat,
                   ExchangeKind exchange);
    Finding assess(const state::Machine& machine, state::Placement& placement,
                   const wire::WorkerHeartbeat& heartbeat, ExchangeKind exchange) const;
    bool is_lost_with_agent_epoch(const state::Placement& placement,
                                  const wire::WorkerHeartbeat& heartbeat) const;
    void exited(state::Machine& machine, state::Placement& placement, const wire::TaskStatus& task);
    bool was_placed_in_this_term(const state::Placement& placement) const;

    sansio::Context& context_;
    coordination::Election& election_;
    state::ClusterState& state_;
    FailureAttribution failure_attribution_;
    std::function<void(const CompletedTask&)> on_task_completed_;
};

}  // namespace dunebridge::workers
