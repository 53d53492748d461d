// Which jobs wait for machines, and the order in which they get them.
//
// Jobs that have waited very long without a single task begun come first, then high priority and
// what is within its team's guarantee; in each by priority and by the time at which they are due.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "config/config.hpp"
#include "sansio/context.hpp"
#include "state/cluster_state.hpp"
#include "state/run_time_estimator.hpp"

namespace dunebridge::scheduler {

struct PendingJob {
    state::Job* job = nullptr;
    bool guaranteed = false;  // within its team's guarantee
    bool aged = false;        // has waited long without a single task begun
    Instant due{};
    // Group, priority, due time and sequence number; the least goes first.
    std::tuple<int, int, Instant, std::uint64_t> rank;
};

class PendingQueue {
  public:
    PendingQueue(sansio::Context& port, state::ClusterState& cluster_state,
                 const state::RunTimeEstimator& run_times, const config::Config& config);

    // The jobs with tasks that may be placed now, in order.
    std::vector<PendingJob> jobs();
    // Until then the job's aims can be met without preemption.
    Instant latest_start(const PendingJob& waiting) const;
    // Whether the job may preempt, and is not preempted itself.
    bool is_high_priority(const state::Job& job) const;

  private:
    // What the settings ask of a class of jobs, in seconds from when it may start.
    struct ClassAims {
        std::optional<double> wait_s;
        std::optional<double> finished_s;
    };

    void mark_guaranteed(std::vector<PendingJob>& waiting) const;
    std::vector<const state::Job*> open_jobs() const;
    const ClassAims& aims(const state::Job& job) const;
    Instant due(const state::Job& job) const;

    sansio::Context& context_;
    state::ClusterState& state_;
    const state::RunTimeEstimator& run_time_estimator_;
    const config::Config& config_;
    std::map<std::string, ClassAims> aims_;  // by job class
    std::optional<double> guarantee_s_;
};

}  // namespace dunebridge::scheduler
