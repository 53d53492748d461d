#include "workers/task_status_processor.hpp"

#include <algorithm>
#include <utility>

#include "state/fencing_token.hpp"
#include "state/task_ranges.hpp"

namespace dunebridge::workers {

using state::ExitedTask;
using state::Job;
using state::Machine;
using state::Placement;
using state::term_of;
using wire::ExitReason;
using wire::TaskPhase;
using wire::TaskStatus;
using wire::WorkerHeartbeat;

namespace {
// Time for which a worker that refused a task for lack of capacity receives no new tasks.
constexpr Millis kRefusalBackoff{2000};
}  // namespace

TaskStatusProcessor::TaskStatusProcessor(sansio::Context& context,
                                         const coordination::Election& election,
                                         state::ClusterState& cluster_state,
                                         OnTaskCompleted on_task_completed)
    : context_(context),
      election_(election),
      state_(cluster_state),
      failure_attribution_(context, cluster_state),
      on_task_completed_(std::move(on_task_completed)) {}

void TaskStatusProcessor::apply(Machine& machine, const WorkerHeartbeat& heartbeat) {
    const auto previously_exited = std::move(machine.worker.exited);
    machine.worker.exited.clear();
    machine.worker.unrecorded_tasks.clear();
    for (const auto& task : heartbeat.tasks) {
        const Job* job = state_.find_job(task.task.job);
        const auto it = job ? machine.placements.find({job->sequence, task.task.index})
                            : machine.placements.end();
        const bool recorded = it != machine.placements.end() && it->second.attempt == task.attempt;
        auto* placement = recorded ? &it->second : nullptr;
        if (task.phase == TaskPhase::exited) {
            apply_exited(machine, task, placement, previously_exited);
        } else {
            apply_present(machine, heartbeat, task, placement);
        }
    }
}

void TaskStatusProcessor::apply_present(Machine& machine, const WorkerHeartbeat& heartbeat,
                                        const TaskStatus& task, Placement* placement) {
    if (!placement) {
        machine.worker.unrecorded_tasks.push_back({task.task, task.attempt});
        state_.request_commands(machine);
        return;
    }
    placement->observed.seen = true;
    placement->observed.phase = task.phase;
    placement->start.agent_epoch =
        std::max(placement->start.agent_epoch, heartbeat.order.agent_epoch);
    if (task.phase != TaskPhase::running) return;
    state_.set_running(*placement, true);
    machine.worker.images.insert(placement->job->spec.image);
}

// Returns a fence counter such that, with this or a higher counter, no duplicate of a command can
// start the exited attempt again.
std::uint64_t TaskStatusProcessor::fence_counter_for_exited(const Machine& machine,
                                                            const TaskStatus& task,
                                                            const Placement* placement) const {
    if (placement) return placement->start.fenced_from;
    // This leader placed the task but no longer knows which command started it.
    if (term_of(task.attempt) == election_.term()) return machine.worker.fence_counter + 1;
    return 0;
}

void TaskStatusProcessor::apply_exited(Machine& machine, const TaskStatus& task,
                                       Placement* placement,
                                       const std::vector<ExitedTask>& previously_exited) {
    ExitedTask entry{
        task.task, task.attempt, {}, 0, fence_counter_for_exited(machine, task, placement)};
    Job* job = state_.find_job(task.task.job);
    if (job) {
        entry.record_key = state::progress_key(*job, task.task.index);
        entry.outcome_version = state_.version();
    }
    for (const auto& earlier : previously_exited) {
        if (earlier.task != task.task || earlier.attempt != task.attempt) continue;
        entry.outcome_version = earlier.outcome_version;
        entry.fenced_from = earlier.fenced_from;
    }
    if (placement) {
        apply_outcome(machine, *placement, task);
        entry.outcome_version = state_.version();
    } else if (job && task.reason == ExitReason::done) {
        // The attempt has no recorded placement, or no longer has one: for example, an earlier
        // heartbeat has listed the attempt as exited, or an earlier leader placed it. The attempt
        // completed the task, so its result counts.
        state_.mark_done(*job, task.task.index);
        entry.outcome_version = std::max(entry.outcome_version, state_.version());
    }
    machine.worker.exited.push_back(std::move(entry));
}

void TaskStatusProcessor::apply_outcome(Machine& machine, Placement& placement,
                                        const TaskStatus& task) {
    Job& job = *placement.job;
    const auto index = placement.index;
    context_.log(sansio::LogLevel::debug, "event=task_exited task={} try={} why={} host={}",
                 task.task.str(), task.attempt.get(), static_cast<int>(task.reason),
                 machine.host.get());
    switch (task.reason) {
        case ExitReason::done:
            complete(machine, placement);
            break;
        case ExitReason::error:
            failure_attribution_.record_failure(job, machine);
            break;
        case ExitReason::full:
            machine.worker.refusal_backoff_until = context_.now() + kRefusalBackoff;
            break;
        case ExitReason::busy:
        case ExitReason::unknown:
            failure_attribution_.start_backoff(job);
            break;
        default:
            if (placement.stop.preempted) state_.mark_preemption_protected(job, index);
    }
    state_.remove_placement(machine, {job.sequence, index});
}

void TaskStatusProcessor::complete(Machine& machine, Placement& placement) {
    Job& job = *placement.job;
    if ((placement.running_since != Instant{})) {
        on_task_completed_({&job, &machine, to_seconds(context_.now() - placement.running_since)});
    }
    failure_attribution_.record_success(job, machine);
    state_.mark_done(job, placement.index);
}

}  // namespace dunebridge::workers
