#include "scheduler/availability_estimator.hpp"

#include <algorithm>

namespace dunebridge::scheduler {

double AvailabilityEstimator::earliest_available_s(const state::Machine& machine) const {
    const auto slack_s = to_seconds(config_.tuning.ranking_slack);
    double earliest_s = 0;
    for (const auto& [key, placement] : machine.placements) {
        const double elapsed_s = (placement.running_since != Instant{})
                                     ? to_seconds(context_.now() - placement.running_since)
                                     : 0;
        const double expected_s = run_time_estimator_.expected_s(*placement.job);
        const double remaining_s = std::max(0.0, expected_s - elapsed_s) + slack_s;
        earliest_s = earliest_s == 0 ? remaining_s : std::min(earliest_s, remaining_s);
    }
    return earliest_s;
}

}  // namespace dunebridge::scheduler
