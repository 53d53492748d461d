#include "scheduler/pending_queue.hpp"

#include <algorithm>
#include <string_view>
#include <unordered_set>

namespace dunebridge::scheduler {

using state::Job;
using state::JobState;

namespace {
constexpr double kNoDeadline_s = 3600;
constexpr double kFetchGuess_gb_per_s = 0.5;
// For a preempted task to stop and its machine to report it.
constexpr double kStop_s = 1.5;
// A job that has waited so long without a task begun is given its first one before all others.
constexpr Millis kAged{90000};
}  // namespace

PendingQueue::PendingQueue(sansio::Context& port, state::ClusterState& cluster_state,
                           const state::RunTimeEstimator& run_times, const config::Config& config)
    : context_(port), state_(cluster_state), run_time_estimator_(run_times), config_(config) {
    const auto lower = [](std::optional<double>& least_s, double within_s) {
        least_s = std::min(least_s.value_or(within_s), within_s);
    };
    for (const auto& objective : config_.objectives) {
        const auto within_s = objective.within_s;
        if (within_s <= 0) continue;
        if (objective.kind == "wait") lower(aims_[objective.job_class].wait_s, within_s);
        if (objective.kind == "finished") lower(aims_[objective.job_class].finished_s, within_s);
        if (objective.kind == "guarantee") lower(guarantee_s_, within_s);
    }
}

bool PendingQueue::is_high_priority(const Job& job) const {
    return job.priority >= config_.tuning.preempts_from;
}

std::vector<PendingJob> PendingQueue::jobs() {
    std::vector<PendingJob> out;
    for (auto& [id, job] : state_.jobs()) {
        if (job.state != JobState::active || job.waiting.empty() || job.is_blocked()) continue;
        if (context_.now() < job.backoff_until) {
            context_.request_wake(job.backoff_until);
            continue;
        }
        const bool aged = !job.has_started() && !job.failures.faulty &&
                          context_.now() - job.runnable_since > kAged;
        out.push_back({&job, false, aged, due(job), {}});
    }
    if (out.empty()) return out;
    mark_guaranteed(out);
    for (auto& waiting : out) {
        const auto& job = *waiting.job;
        const int group = waiting.aged ? 0 : is_high_priority(job) || waiting.guaranteed ? 1 : 2;
        waiting.rank = {group, -static_cast<int>(job.priority), waiting.due, job.sequence};
    }
    std::sort(out.begin(), out.end(),
              [](const PendingJob& a, const PendingJob& b) { return a.rank < b.rank; });
    return out;
}

// The jobs that may start, in the order in which they might.
std::vector<const Job*> PendingQueue::open_jobs() const {
    std::vector<const Job*> open;
    for (const auto& [id, job] : state_.jobs()) {
        if (job.state == JobState::active && !job.is_blocked()) open.push_back(&job);
    }
    std::sort(open.begin(), open.end(), [](const Job* a, const Job* b) {
        return std::tie(a->runnable_since, a->sequence) < std::tie(b->runnable_since, b->sequence);
    });
    return open;
}

// A job is within its team's guarantee if it fits into it together with the team's earlier
// unfinished jobs.
void PendingQueue::mark_guaranteed(std::vector<PendingJob>& waiting) const {
    const bool any = std::any_of(config_.teams.begin(), config_.teams.end(),
                                 [](const auto& team) { return team.cpus > 0 || team.gpus > 0; });
    if (!any) return;
    struct TeamSum {
        const config::Team* team = nullptr;
        state::TeamUsage wanted;
    };
    std::map<std::string_view, TeamSum> sums;
    for (const auto& team : config_.teams) sums[team.name].team = &team;
    std::unordered_set<const Job*> within;
    for (const auto* job : open_jobs()) {
        const auto it = sums.find(job->spec.team);
        if (it == sums.end()) continue;
        auto& [team, wanted] = it->second;
        const double tasks = job->spec.task_count - job->done;
        wanted.cpus += tasks * job->spec.cores;
        wanted.gpus += tasks * job->spec.accelerators;
        if (wanted.cpus <= team->cpus && wanted.gpus <= team->gpus) within.insert(job);
    }
    for (auto& entry : waiting) entry.guaranteed = within.contains(entry.job);
}

const PendingQueue::ClassAims& PendingQueue::aims(const Job& job) const {
    static const ClassAims none;
    const auto it = aims_.find(job.spec.job_class);
    return it == aims_.end() ? none : it->second;
}

Instant PendingQueue::due(const Job& job) const {
    const double within_s = std::min(kNoDeadline_s, aims(job).finished_s.value_or(kNoDeadline_s));
    return std::min(job.runnable_since + from_seconds(within_s), job.latest_end);
}

Instant PendingQueue::latest_start(const PendingJob& waiting) const {
    const auto& job = *waiting.job;
    double within_s = std::min(kNoDeadline_s, aims(job).wait_s.value_or(kNoDeadline_s));
    if (waiting.guaranteed) within_s = std::min(within_s, guarantee_s_.value_or(within_s));
    // A start counts once the image is there; and the users' estimates are often wrong by half.
    const double fetch_s = job.spec.image_gb / kFetchGuess_gb_per_s;
    const double run_s = std::max(run_time_estimator_.expected_s(job), job.spec.expected_s) *
                         state::kRunTimeUncertainty;
    const auto wait_s = std::max(0.0, within_s - fetch_s - kStop_s);
    const auto latest = job.runnable_since + from_seconds(wait_s);
    if (job.latest_end == Instant::max()) return latest;
    return std::min(latest, due(job) - from_seconds(run_s + fetch_s + kStop_s));
}

}  // namespace dunebridge::scheduler
