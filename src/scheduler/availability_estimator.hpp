/// \file
/// Estimates of when capacity on a machine becomes free.
#pragma once

#include "config/config.hpp"
#include "sansio/context.hpp"
#include "state/machine.hpp"
#include "state/run_time_estimator.hpp"

namespace dunebridge::scheduler {

/// Estimates when a full machine will have free capacity again.
///
/// The estimates are used only to rank machines, never to decide whether a task fits. The objects
/// passed to the constructor must outlive the estimator.
class AvailabilityEstimator {
  public:
    AvailabilityEstimator(const sansio::Context& context,
                          const state::RunTimeEstimator& run_time_estimator,
                          const config::Config& config)
        : context_(context), run_time_estimator_(run_time_estimator), config_(config) {}

    /// Returns the earliest available time, as the MBFCBS algorithm defines it: the number of
    /// seconds until the first of the machine's tasks is expected to end, plus the configured
    /// slack. Returns 0 for a machine without tasks.
    double earliest_available_s(const state::Machine& machine) const;

  private:
    const sansio::Context& context_;
    const state::RunTimeEstimator& run_time_estimator_;
    const config::Config& config_;
};

}  // namespace dunebridge::scheduler
