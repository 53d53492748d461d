/// \file
/// Applies the tasks that a worker's heartbeat lists to the cluster state.
#pragma once

#include <functional>
#include <vector>

#include "coordination/election.hpp"
#include "sansio/context.hpp"
#include "state/cluster_state.hpp"
#include "state/job.hpp"
#include "state/machine.hpp"
#include "state/placement.hpp"
#include "wire/worker_messages.hpp"
#include "workers/failure_attribution.hpp"

namespace dunebridge::workers {

/// A task that has been completed, from which run times are learnt.
struct CompletedTask {
    const state::Job* job = nullptr;
    const state::Machine* machine = nullptr;
    double ran_s = 0;
};

/// Called for each placement whose task is done and was seen running.
using OnTaskCompleted = std::function<void(const CompletedTask&)>;

/// Takes in what a heartbeat lists: tasks that are on the worker, tasks that have exited with their
/// outcome, and tasks that no record names.
///
/// What is listed is true whatever fencing token the heartbeat shows: the tasks are on the worker,
/// and an attempt that has exited stays exited. What is not listed is the Reconciler's part.
class TaskStatusProcessor {
  public:
    TaskStatusProcessor(sansio::Context& context, const coordination::Election& election,
                        state::ClusterState& cluster_state, OnTaskCompleted on_task_completed);

    void apply(state::Machine& machine, const wire::WorkerHeartbeat& heartbeat);

  private:
    void apply_present(state::Machine& machine, const wire::WorkerHeartbeat& heartbeat,
                       const wire::TaskStatus& task, state::Placement* placement);
    void apply_exited(state::Machine& machine, const wire::TaskStatus& task,
                      state::Placement* placement,
                      const std::vector<state::ExitedTask>& listed_before);
    std::uint64_t fence_of_exited(const state::Machine& machine, const wire::TaskStatus& task,
                                  const state::Placement* placement) const;
    void apply_outcome(state::Machine& machine, state::Placement& placement,
                       const wire::TaskStatus& task);
    void complete(state::Machine& machine, state::Placement& placement);

    sansio::Context& context_;
    const coordination::Election& election_;
    state::ClusterState& state_;
    FailureAttribution failure_attribution_;
    OnTaskCompleted on_task_completed_;
};

}  // namespace dunebridge::workers
