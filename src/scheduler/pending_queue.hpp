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

struct WaitingJob {
    state::Job* job = nullptr;
    bool guaranteed = false;  // within its team's guarantee
    bool aged = false;        // has waited long without a single task begun
    Instant due{};
    // Group, priority, due time and sequence number; the least goes first.
    std::tuple<int, int, Instant, std::uint64_t> rank;
};

class WaitingList {
  public:
    WaitingList(sansio::Port& port, state::Ledger& ledger, const state::RunTimes& run_times,
                const config::Config& config);

    // The jobs with tasks that may be placed now, in order.
    std::vector<WaitingJob> jobs();
    // Until then the job's aims can be met without preemption.
    Instant start_by(const WaitingJob& waiting) const;
    // Whether the job may preempt, and is not preempted itself.
    bool high(const state::Job& job) const;

  private:
    // What the settings ask of a class of jobs, in seconds from when it may start.
    struct ClassAims {
        std::optional<double> wait_s;
        std::optional<double> finished_s;
    };

    void mark_guaranteed(std::vector<WaitingJob>& waiting) const;
    std::vector<const state::Job*> open_jobs() const;
    const ClassAims& aims(const state::Job& job) const;
    Instant due(const state::Job& job) const;

    sansio::Port& port_;
    state::Ledger& ledger_;
    const state::RunTimes& run_times_;
    const config::Config& config_;
    std::map<std::string, ClassAims> aims_;  // by job class
    std::optional<double> guarantee_s_;
};

}  // namespace dunebridge::scheduler
