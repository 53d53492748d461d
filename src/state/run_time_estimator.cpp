#include "state/run_time_estimator.hpp"

#include <algorithm>

namespace dunebridge::state {

namespace {
constexpr double kLearnRate = 0.1;  // weight of the newest task
constexpr double kLeastRatio = 0.1;
constexpr double kMostRatio = 10.0;
}  // namespace

double RunTimeEstimator::expected_s(const state::Job& job) const {
    const auto it = class_ratio_.find(job.spec.job_class);
    return job.spec.expected_run_time_s * (it == class_ratio_.end() ? 1.0 : it->second);
}

void RunTimeEstimator::record_run_time(const state::Job& job, double ran_s) {
    if (job.spec.expected_run_time_s <= 0) return;
    const double ratio = std::clamp(ran_s / job.spec.expected_run_time_s, kLeastRatio, kMostRatio);
    auto [it, added] = class_ratio_.try_emplace(job.spec.job_class, ratio);
    if (!added) it->second += kLearnRate * (ratio - it->second);
}

}  // namespace dunebridge::state
