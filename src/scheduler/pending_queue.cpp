#include "scheduler/pending_queue.hpp"

#include <algorithm>
#include <string_view>
#include <tuple>
#include <unordered_set>

namespace dunebridge::scheduler {

using state::Job;
using state::JobState;

namespace {
// Used as the objective for both the start and the end of jobs whose class has none. It is also
// the upper limit of configured objectives.
constexpr double kDefaultObjective_s = 3600;
// Assumed rate at which a machine fetches a container image.
constexpr double kImageFetchRate_gb_per_s = 0.5;
// Time allowed for a preempted task to stop and for its worker to report that.
constexpr double kPreemptionDelay_s = 1.5;
// A job that has waited longer than this without a first task goes to the head of the queue.
constexpr Millis kStarvationLimit{90000};

// Lowers the minimum to `within_s` if that is less or if there is no minimum yet.
void set_to_minimum(std::optional<double>& minimum_s, double within_s) {
    minimum_s = std::min(minimum_s.value_or(within_s), within_s);
}
}  // namespace

PendingQueue::PendingQueue(sansio::Context& context, state::ClusterState& cluster_state,
                           const state::RunTimeEstimator& run_time_estimator,
                           const config::Config& config)
    : context_(context),
      state_(cluster_state),
      run_time_estimator_(run_time_estimator),
      config_(config) {
    for (const auto& objective : config_.objectives) {
        const auto within_s = objective.within_s;
        if (within_s <= 0) continue;
        const auto& job_class = objective.job_class;
        if (objective.kind == "wait") set_to_minimum(objectives_[job_class].wait_s, within_s);
        if (objective.kind == "finished")
            set_to_minimum(objectives_[job_class].finished_s, within_s);
        if (objective.kind == "guarantee") set_to_minimum(guaranteed_wait_s_, within_s);
    }
}

bool PendingQueue::is_high_priority(const Job& job) const {
    return job.dependencies.effective_priority >= config_.tuning.min_preempting_priority;
}

std::vector<PendingJob> PendingQueue::jobs() {
    auto pending = collect_pending_jobs();
    if (pending.empty()) return pending;
    mark_within_guarantee(pending);
    for (auto& entry : pending) entry.rank = rank_of(entry);
    std::sort(pending.begin(), pending.end(),
              [](const PendingJob& a, const PendingJob& b) { return a.rank < b.rank; });
    return pending;
}

// Returns the jobs with tasks that may be placed now, not yet ranked. Requests a wake-up for those
// in backoff.
std::vector<PendingJob> PendingQueue::collect_pending_jobs() {
    std::vector<PendingJob> pending;
    for (auto& [id, job] : state_.jobs()) {
        if (job.state != JobState::active || job.pending_tasks.empty() || job.is_blocked())
            continue;
        if (context_.now() < job.backoff.until) {
            context_.request_wake(job.backoff.until);
            continue;
        }
        const auto waited = context_.now() - job.dependencies.runnable_since;
        // A faulty job never counts as starving: its failures must not move it ahead of other jobs.
        const bool starving =
            !job.has_started() && !job.failures.faulty && waited > kStarvationLimit;
        pending.push_back({&job, false, starving, due_time(job), {}});
    }
    return pending;
}

QueueRank PendingQueue::rank_of(const PendingJob& pending) const {
    const auto& job = *pending.job;
    auto group = QueueGroup::best_effort;
    if (pending.starving) {
        group = QueueGroup::starving;
    } else if (is_high_priority(job) || pending.within_guarantee) {
        group = QueueGroup::preferred;
    }
    const int priority = static_cast<int>(job.dependencies.effective_priority);
    return {group, -priority, pending.due, job.sequence};
}

// Returns the active jobs without unmet dependencies, in the order in which they became runnable.
std::vector<const Job*> PendingQueue::unblocked_jobs() const {
    std::vector<const Job*> jobs;
    for (const auto& [id, job] : state_.jobs()) {
        if (job.state == JobState::active && !job.is_blocked()) jobs.push_back(&job);
    }
    std::sort(jobs.begin(), jobs.end(), [](const Job* a, const Job* b) {
        return std::tie(a->dependencies.runnable_since, a->sequence) <
               std::tie(b->dependencies.runnable_since, b->sequence);
    });
    return jobs;
}

// Adds up the remaining demand of each team's runnable jobs, the earliest first, and marks the jobs
// up to which the sum stays within the team's guaranteed quota.
void PendingQueue::mark_within_guarantee(std::vector<PendingJob>& pending) const {
    const bool any_guarantee =
        std::any_of(config_.teams.begin(), config_.teams.end(),
                    [](const auto& team) { return team.cpus > 0 || team.gpus > 0; });
    if (!any_guarantee) return;
    struct TeamDemand {
        const config::Team* team = nullptr;
        state::TeamUsage wanted;
    };
    std::map<std::string_view, TeamDemand> demands;
    for (const auto& team : config_.teams) demands[team.name].team = &team;
    std::unordered_set<const Job*> within_guarantee;
    for (const auto* job : unblocked_jobs()) {
        const auto it = demands.find(job->spec.team);
        if (it == demands.end()) continue;
        auto& [team, wanted] = it->second;
        const double tasks = job->spec.task_count - job->done_count;
        wanted.cpus += tasks * job->spec.cores;
        wanted.gpus += tasks * job->spec.accelerators;
        if (wanted.cpus <= team->cpus && wanted.gpus <= team->gpus) within_guarantee.insert(job);
    }
    for (auto& entry : pending) entry.within_guarantee = within_guarantee.contains(entry.job);
}

const PendingQueue::ClassObjectives& PendingQueue::objectives_of(const Job& job) const {
    static const ClassObjectives none;
    const auto it = objectives_.find(job.spec.job_class);
    return it == objectives_.end() ? none : it->second;
}

Instant PendingQueue::due_time(const Job& job) const {
    const double within_s =
        std::min(kDefaultObjective_s, objectives_of(job).finished_s.value_or(kDefaultObjective_s));
    return std::min(job.dependencies.runnable_since + from_seconds(within_s),
                    job.dependencies.latest_end);
}

Instant PendingQueue::latest_start(const PendingJob& pending) const {
    const auto& job = *pending.job;
    double within_s =
        std::min(kDefaultObjective_s, objectives_of(job).wait_s.value_or(kDefaultObjective_s));
    if (pending.within_guarantee)
        within_s = std::min(within_s, guaranteed_wait_s_.value_or(within_s));
    // A task counts as started only once its image has been fetched. Users' estimates of the run
    // time are often too low by half, so the expected run time is multiplied by
    // kRunTimeSafetyFactor.
    const double fetch_s = job.spec.image_gb / kImageFetchRate_gb_per_s;
    const double run_s =
        std::max(run_time_estimator_.expected_s(job), job.spec.expected_run_time_s) *
        state::kRunTimeSafetyFactor;
    const auto wait_s = std::max(0.0, within_s - fetch_s - kPreemptionDelay_s);
    const auto latest = job.dependencies.runnable_since + from_seconds(wait_s);
    if (job.dependencies.latest_end == Instant::max()) return latest;
    return std::min(latest, due_time(job) - from_seconds(run_s + fetch_s + kPreemptionDelay_s));
}

}  // namespace dunebridge::scheduler
