/// \file
/// The queue of jobs with pending tasks, in the order in which the scheduler places them.
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "config/config.hpp"
#include "sansio/context.hpp"
#include "state/cluster_state.hpp"
#include "state/run_time_estimator.hpp"

namespace dunebridge::scheduler {

/// Groups of pending jobs, in the order in which they are placed.
enum class QueueGroup : std::uint8_t {
    starving,    ///< has waited very long without a first task
    preferred,   ///< has high priority, or is within its team's guaranteed quota
    best_effort  ///< all other jobs
};

/// Sort key of a job in the queue. The job with the lowest rank is placed first.
struct QueueRank {
    QueueGroup group = QueueGroup::best_effort;
    int negative_priority = 0;  ///< negated, so that higher priorities come first
    Instant due{};
    std::uint64_t sequence = 0;  ///< of the job; earlier jobs come first

    auto operator<=>(const QueueRank&) const = default;
};

/// A job with tasks that may be placed now. Valid only during one scheduling pass.
struct PendingJob {
    state::Job* job = nullptr;
    /// The job and its team's earlier runnable jobs together fit into the team's guaranteed quota.
    bool within_guarantee = false;
    /// The job has waited long without a first task.
    bool starving = false;
    /// The time by which the job should be finished.
    Instant due{};
    QueueRank rank;
};

/// The queue of pending jobs, rebuilt from the cluster state in each scheduling pass.
///
/// Starving jobs come first, then jobs that have high priority or are within their team's
/// guaranteed quota, then all others. Within a group, jobs are ordered by priority, then by due
/// time, then by arrival. The objects passed to the constructor must outlive the queue.
class PendingQueue {
  public:
    PendingQueue(sansio::Context& context, state::ClusterState& cluster_state,
                 const state::RunTimeEstimator& run_time_estimator, const config::Config& config);

    /// Returns the jobs with tasks that may be placed now, in queue order. Requests a wake-up for
    /// jobs that are in backoff.
    std::vector<PendingJob> jobs();
    /// Returns the latest time until which the job can wait for free machines and still meet its
    /// service-level objectives. After that time it can meet them only by preempting other tasks.
    Instant latest_start(const PendingJob& pending) const;
    /// Returns true if the job's tasks may preempt others and must not be preempted themselves.
    bool is_high_priority(const state::Job& job) const;

  private:
    /// Service-level objectives of a job class, in seconds from the time at which a job becomes
    /// runnable.
    struct ClassObjectives {
        std::optional<double> wait_s;      ///< until the start; empty if there is no objective
        std::optional<double> finished_s;  ///< until the end; empty if there is no objective
    };

    std::vector<PendingJob> collect_pending_jobs();
    QueueRank rank_of(const PendingJob& pending) const;
    void mark_within_guarantee(std::vector<PendingJob>& pending) const;
    std::vector<const state::Job*> unblocked_jobs() const;
    const ClassObjectives& objectives_of(const state::Job& job) const;
    Instant due_time(const state::Job& job) const;

    sansio::Context& context_;
    state::ClusterState& state_;
    const state::RunTimeEstimator& run_time_estimator_;
    const config::Config& config_;
    std::map<std::string, ClassObjectives> objectives_;  ///< by job class
    /// Number of seconds within which a job within its team's guaranteed quota should start; empty
    /// if there is no such objective.
    std::optional<double> guaranteed_wait_s_;
};

}  // namespace dunebridge::scheduler
