/// \file
/// When the tasks of a machine are expected to end.
#pragma once

#include "config/config.hpp"
#include "sansio/context.hpp"
#include "state/machine.hpp"
#include "state/run_time_estimator.hpp"

namespace dunebridge::scheduler {

/// Estimates when a machine that is full has room again. Used to rank machines, never to decide
/// whether a task fits.
class AvailabilityEstimator {
  public:
    AvailabilityEstimator(const sansio::Context& context,
                          const state::RunTimeEstimator& run_time_estimator,
                          const config::Config& config)
        : context_(context), run_time_estimator_(run_time_estimator), config_(config) {}

    /// The paper's earliest available time: seconds until the first of the machine's tasks is
    /// expected to end, plus the slack that the settings give; 0 for a machine without tasks.
    double earliest_available_s(const state::Machine& machine) const;

  private:
    const sansio::Context& context_;
    const state::RunTimeEstimator& run_time_estimator_;
    const config::Config& config_;
};

}  // namespace dunebridge::scheduler
