/// \file
/// Processing of the task statuses in workers' heartbeats.
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

/// A completed task, from which the run times of its job class are learned.
struct CompletedTask {
    const state::Job* job = nullptr;
    const state::Machine* machine = nullptr;
    double ran_s = 0;  ///< seconds since a heartbeat first reported the task as running
};

/// Called for each placement whose task is done, if a heartbeat has reported the task as running.
using OnTaskCompleted = std::function<void(const CompletedTask&)>;

/// Applies the tasks that a heartbeat lists to the cluster state: tasks on the worker, exited tasks
/// with their outcome, and tasks without a recorded placement.
///
/// The listed statuses are valid whatever fencing token the heartbeat carries: the tasks are on the
/// worker, and an exited attempt stays exited. The Reconciler handles tasks that are not listed.
class TaskStatusProcessor {
  public:
    TaskStatusProcessor(sansio::Context& context, const coordination::Election& election,
                        state::ClusterState& cluster_state, OnTaskCompleted on_task_completed);

    /// Applies the heartbeat's tasks, and replaces the machine's lists of exited and unrecorded
    /// tasks.
    void apply(state::Machine& machine, const wire::WorkerHeartbeat& heartbeat);

  private:
    void apply_present(state::Machine& machine, const wire::WorkerHeartbeat& heartbeat,
                       const wire::TaskStatus& task, state::Placement* placement);
    void apply_exited(state::Machine& machine, const wire::TaskStatus& task,
                      state::Placement* placement,
                      const std::vector<state::ExitedTask>& previously_exited);
    std::uint64_t fence_counter_for_exited(const state::Machine& machine,
                                           const wire::TaskStatus& task,
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
