#include "scheduler/preemption.hpp"

#include <algorithm>

namespace dunebridge::scheduler {

using state::Job;
using state::Placement;

namespace {

// Added to the time that a task needs to save a checkpoint.
constexpr double kCheckpointMargin_s = 1;

// Returns the number of seconds that a preempted task has to save a checkpoint; 0 if its job does
// not save checkpoints.
double checkpoint_grace_s(const Job& job) {
    const bool saves_checkpoints = job.spec.checkpoint_interval_s > 0;
    return double(saves_checkpoints ? job.spec.checkpoint_duration_s + kCheckpointMargin_s : 0);
}

}  // namespace

void Preemption::clear() {
    candidates_.reset();
    exhausted_shapes_.clear();
}

void Preemption::make_room(const Job& job, std::size_t tasks) {
    const bool shape_is_sufficient = !has_zone_constraint(job);
    if (shape_is_sufficient && exhausted_shapes_.contains(shape_of(job))) return;
    reserve_stopping_capacity(job, tasks);
    if (tasks == 0) return;
    preempt_tasks(job, tasks);
    if (tasks > 0 && shape_is_sufficient) exhausted_shapes_.insert(shape_of(job));
}

// Reserves capacity that tasks which are already being stopped will release.
void Preemption::reserve_stopping_capacity(const Job& job, std::size_t& tasks) {
    const auto ranking = future_fit(
        capacities_.capacities(), job.task_resources(),
        [&](MachineIndex index) { return is_eligible(job, capacities_.machine(index)); },
        [&](MachineIndex index) {
            return availability_.earliest_available_s(capacities_.machine(index));
        });
    for (const auto index : ranking) reserve_for_tasks(job, index, tasks);
}

// Preempts best-effort tasks and reserves the capacity that they release. Each preemption makes
// room for at least one task of the job.
void Preemption::preempt_tasks(const Job& job, std::size_t& tasks) {
    if (!candidates_) collect_candidates();
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
        reserve_for_tasks(job, index, tasks);
    }
}

// Reserves capacity on the machine for as many tasks as fit, and subtracts their number from
// `tasks`.
void Preemption::reserve_for_tasks(const Job& job, MachineIndex index, std::size_t& tasks) {
    const auto need = job.task_resources();
    while (tasks > 0 && capacities_.capacities()[index].free_after_stops.holds(need)) {
        capacities_.reserve_after_stops(index, need);
        --tasks;
    }
}

void Preemption::preempt(const Candidate& candidate, const Job& for_job) {
    auto& placement = *candidate.placement;
    placement.stop.preempted = true;
    state_.stop_task(placement, checkpoint_grace_s(*placement.job));
    capacities_.add_releasing(candidate.machine, placement.job->task_resources());
    context_.log(sansio::LogLevel::info, "event=preempt victim={} for={} host={}",
                 placement.ref().str(), for_job.spec.id.get(), placement.machine->host.get());
}

bool Preemption::may_be_preempted(const Placement& placement) const {
    const auto& job = *placement.job;
    if (pending_queue_.is_high_priority(job)) return false;
    if (placement.stop.requested || !placement.is_committed()) return false;
    return !job.tasks[placement.index].preemption_protected;
}

// Sorts the candidates by the time of their placement, the latest first, so that the first
// candidate that fits loses the least work.
void Preemption::collect_candidates() {
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
