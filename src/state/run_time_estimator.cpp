#include "state/run_time_estimator.hpp"

#include <algorithm>

namespace dunebridge::state {

namespace {
constexpr double kSmoothingFactor = 0.1;  // weight of the newest run time in the moving average
constexpr double kMinRatio = 0.1;
constexpr double kMaxRatio = 10.0;
}  // namespace

double RunTimeEstimator::expected_s(const state::Job& job) const {
    const auto it = class_ratios_.find(job.spec.job_class);
    return job.spec.expected_run_time_s * (it == class_ratios_.end() ? 1.0 : it->second);
}

void RunTimeEstimator::record_run_time(const state::Job& job, double run_time_s) {
    if (job.spec.expected_run_time_s <= 0) return;
    const double ratio =
        std::clamp(run_time_s / job.spec.expected_run_time_s, kMinRatio, kMaxRatio);
    auto [it, added] = class_ratios_.try_emplace(job.spec.job_class, ratio);
    if (!added) it->second += kSmoothingFactor * (ratio - it->second);
}

}  // namespace dunebridge::state
