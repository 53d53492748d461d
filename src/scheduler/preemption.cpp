#include "scheduler/preemption.hpp"

#include <algorithm>

namespace dunebridge::scheduler {

using state::Job;
using state::Placement;

namespace {

// Beyond the time in which a task saves a checkpoint.
constexpr double kCheckpointMargin_s = 1;

// The time that a preempted task is given to save a checkpoint; none if it saves none.
double checkpoint_grace(const Job& job) {
    const bool saves_checkpoints = job.spec.checkpoint_interval_s > 0;
    return double(saves_checkpoints ? job.spec.checkpoint_duration_s + kCheckpointMargin_s : 0);
}

}  // namespace

void Preemption::clear() {
    candidates_.reset();
    exhausted_shapes_.clear();
}

void Preemption::make_room(const Job& job, std::size_t tasks) {
    const bool shape_decides = !has_zone_constraint(job);
    if (shape_decides && exhausted_shapes_.contains(shape_of(job))) return;
    use_stopping_tasks(job, tasks);
    if (tasks == 0) return;
    preempt_tasks(job, tasks);
    if (tasks > 0 && shape_decides) exhausted_shapes_.insert(shape_of(job));
}

// Sets aside what tasks that are being stopped already will leave.
void Preemption::use_stopping_tasks(const Job& job, std::size_t& tasks) {
    const auto order = future_fit(
        capacities_.capacities(), job.task_resources(),
        [&](MachineIndex index) { return is_eligible(job, capacities_.machine(index)); },
        [&](MachineIndex index) {
            return availability_.earliest_available_s(capacities_.machine(index));
        });
    for (const auto index : order) set_aside(job, index, tasks);
}

// Stops best-effort tasks, each of which makes room for at least one task of the job.
void Preemption::preempt_tasks(const Job& job, std::size_t& tasks) {
    if (!candidates_) find_candidates();
    const auto need = job.task_resources();
    for (const auto& candidate : *candidates_) {
        if (tasks == 0) return;
        const auto index = candidate.machine;
        if (candidate.placement->stop.requested) continue;
        if (!is_eligible(job, capacities_.machine(index))) continue;
        auto free_after_stop = capacities_.capacities()[index].free_after_stops;
        free_after_stop.add(candidate.placement->job->task_resources());
        if (!free_after_stop.holds(need)) continue;
        preempt(candidate, job);
        set_aside(job, index, tasks);
    }
}

// Sets aside capacity of the machine for as many of the tasks as fit; `tasks` counts those left.
void Preemption::set_aside(const Job& job, MachineIndex index, std::size_t& tasks) {
    const auto need = job.task_resources();
    while (tasks > 0 && capacities_.capacities()[index].free_after_stops.holds(need)) {
        capacities_.reserve_after_stops(index, need);
        --tasks;
    }
}

void Preemption::preempt(const Candidate& candidate, const Job& for_job) {
    auto& placement = *candidate.placement;
    placement.stop.preempted = true;
    state_.stop_task(placement, checkpoint_grace(*placement.job));
    capacities_.add_stopped(candidate.machine, placement.job->task_resources());
    context_.log(sansio::LogLevel::info, "event=preempt victim={} for={} host={}",
                 placement.ref().str(), for_job.spec.id.get(), placement.machine->host.get());
}

bool Preemption::may_be_preempted(const Placement& placement) const {
    const auto& job = *placement.job;
    if (pending_queue_.is_high_priority(job)) return false;
    if (placement.stop.requested || !placement.is_committed()) return false;
    return !job.tasks[placement.index].preemption_protected;
}

// Candidates are kept in order of start, the latest first: the first that fits has the least work
// to lose.
void Preemption::find_candidates() {
    candidates_.emplace();
    capacities_.add_full_machines();
    for (MachineIndex index = 0; index < capacities_.size(); ++index) {
        for (auto& [key, placement] : capacities_.machine(index).placements) {
            if (may_be_preempted(placement)) candidates_->push_back({&placement, index});
        }
    }
    std::stable_sort(candidates_->begin(), candidates_->end(),
                     [](const Candidate& a, const Candidate& b) {
                         return a.placement->placed_at > b.placement->placed_at;
                     });
}

}  // namespace dunebridge::scheduler
