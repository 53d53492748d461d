#include "scheduler/scheduler.hpp"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <set>

#include "scheduler/team_quota.hpp"

namespace dunebridge::scheduler {

using state::Job;

Scheduler::Scheduler(sansio::Context& context, state::ClusterState& cluster_state,
                     const state::WorkerLiveness& liveness,
                     const state::RunTimeEstimator& run_time_estimator,
                     const config::Config& config)
    : context_(context),
      state_(cluster_state),
      config_(config),
      pending_queue_(context, cluster_state, run_time_estimator, config),
      availability_(context, run_time_estimator, config),
      reservations_(context, cluster_state, liveness, availability_),
      capacities_(cluster_state, liveness),
      best_fit_(cluster_state, capacities_),
      preemption_(context, cluster_state, pending_queue_, availability_, capacities_) {}

std::size_t Scheduler::run() {
    const auto pending = pending_queue_.jobs();
    if (pending.empty()) return 0;
    release_stale_reservations(pending);
    build_capacity_table(pending);
    for (const auto& entry : pending) {
        if (entry.starving) {
            place_first_task(entry);
        } else {
            place_tasks(entry);
        }
    }
    for (const auto& entry : pending) {
        if (entry.starving && entry.job->has_started()) place_tasks(entry);
    }
    capacities_.clear();
    best_fit_.clear();
    preemption_.clear();
    return pending.size();
}

void Scheduler::release_stale_reservations(const std::vector<PendingJob>& pending) {
    std::set<std::uint64_t> starving;
    for (const auto& entry : pending) {
        // No machine stays reserved for a job whose team is at its quota: other jobs could use the
        // machine in the meantime.
        if (entry.starving && tasks_within_quota(*entry.job) > 0)
            starving.insert(entry.job->sequence);
    }
    reservations_.release_stale(starving);
}

void Scheduler::build_capacity_table(const std::vector<PendingJob>& pending) {
    double min_cores = std::numeric_limits<double>::max();
    for (const auto& entry : pending) min_cores = std::min(min_cores, entry.job->spec.cores);
    capacities_.build(min_cores);
}

std::size_t Scheduler::tasks_within_quota(const Job& job) {
    return scheduler::tasks_within_quota(job, config_, state_.team_usage(job.spec.team));
}

void Scheduler::place_tasks(const PendingJob& pending) {
    Job& job = *pending.job;
    auto remaining = tasks_within_quota(job);
    remaining -= best_fit_.place(job, remaining);
    // A faulty job, whose tasks fail on every machine, must not preempt tasks of other jobs.
    if (!pending_queue_.is_high_priority(job) || remaining == 0 || job.failures.faulty) return;
    const auto latest_start = pending_queue_.latest_start(pending);
    if (context_.now() < latest_start) {
        context_.request_wake(latest_start);
        return;
    }
    preemption_.make_room(job, remaining);
}

// Prevents starvation: a job gets its first task placed even under a steady flow of jobs that rank
// before it. If the task fits nowhere, a machine is reserved until it has enough free capacity.
void Scheduler::place_first_task(const PendingJob& pending) {
    Job& job = *pending.job;
    if (tasks_within_quota(job) == 0) return;
    if (best_fit_.place(job, 1) > 0) return;
    reservations_.reserve_for(job);
}

}  // namespace dunebridge::scheduler
