/// \file
/// Which jobs have tasks to be placed, and the order in which they get machines.
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

/// Groups of pending jobs; those of an earlier group go first.
enum class QueueGroup : std::uint8_t {
    starving,   ///< waits very long without a first task
    preferred,  ///< of high priority, or within its team's guaranteed quota
    best_effort
};

/// Position of a job in the queue; the least goes first.
struct QueueRank {
    QueueGroup group = QueueGroup::best_effort;
    int negative_priority = 0;  ///< a higher priority goes first
    Instant due{};
    std::uint64_t sequence = 0;  ///< of the job; an earlier one goes first

    auto operator<=>(const QueueRank&) const = default;
};

/// A job with tasks that may be placed now. Valid for one scheduling pass.
struct PendingJob {
    state::Job* job = nullptr;
    /// It fits into its team's guaranteed quota together with the team's earlier unfinished jobs.
    bool within_guarantee = false;
    /// It has waited long without a first task.
    bool starving = false;
    /// When it should be finished.
    Instant due{};
    QueueRank rank;
};

/// The queue of pending jobs, made anew from the cluster state in each scheduling pass.
///
/// Jobs that have waited very long without a first task come first, then those of high priority or
/// within their team's guaranteed quota, then the others; in each group by priority and by the time
/// at which they are due.
class PendingQueue {
  public:
    PendingQueue(sansio::Context& context, state::ClusterState& cluster_state,
                 const state::RunTimeEstimator& run_time_estimator, const config::Config& config);

    /// The jobs with tasks that may be placed now, in order. Requests a wake-up for those that are
    /// in backoff.
    std::vector<PendingJob> jobs();
    /// The latest time until which the job can wait for free machines and still meet its
    /// service-level objectives; later its tasks must preempt others.
    Instant latest_start(const PendingJob& pending) const;
    /// Returns true if the job's tasks may preempt others, and are not preempted themselves.
    bool is_high_priority(const state::Job& job) const;

  private:
    /// Service-level objectives of a class of jobs, in seconds from when a job may start.
    struct ClassObjectives {
        std::optional<double> wait_s;
        std::optional<double> finished_s;
    };

    std::vector<PendingJob> collect();
    QueueRank rank_of(const PendingJob& pending) const;
    void mark_within_guarantee(std::vector<PendingJob>& pending) const;
    std::vector<const state::Job*> unblocked_jobs() const;
    const ClassObjectives& objectives_of(const state::Job& job) const;
    Instant due(const state::Job& job) const;

    sansio::Context& context_;
    state::ClusterState& state_;
    const state::RunTimeEstimator& run_time_estimator_;
    const config::Config& config_;
    std::map<std::string, ClassObjectives> objectives_;  ///< by job class
    /// Within so many seconds a job within its team's guaranteed quota is to start.
    std::optional<double> guarantee_s_;
};

}  // namespace dunebridge::scheduler
