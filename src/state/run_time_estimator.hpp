/// \file
/// Run times to be expected of tasks: the users' estimates, corrected by what each class has shown.
/// They rank and size; no rule rests on them.
#pragma once

#include <map>
#include <string>

#include "state/job.hpp"

namespace dunebridge::state {

/// Users' estimates of run times are often too low by half.
inline constexpr double kRunTimeSafetyFactor = 1.5;

/// Expected run times: the owners' estimates, corrected by what each job class has shown.
class RunTimeEstimator {
  public:
    double expected_s(const state::Job& job) const;
    /// A task of the job has run for so long.
    void record_run_time(const state::Job& job, double ran_s);

  private:
    std::map<std::string, double> class_ratio_;  // run time over the estimate, by job class
};

}  // namespace dunebridge::state
