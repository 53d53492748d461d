/// \file
/// Expected run times of tasks: the users' estimates, corrected by the run times observed in each
/// job class. They are used for ranking and for sizing the fleet only; no invariant relies on them.
#pragma once

#include <map>
#include <string>

#include "state/job.hpp"

namespace dunebridge::state {

/// Factor by which expected run times are increased: users' estimates are often too low by half.
inline constexpr double kRunTimeSafetyFactor = 1.5;

/// Estimates run times from the users' estimates and the observed run times of each job class.
class RunTimeEstimator {
  public:
    /// Returns the expected run time of a task of the job, in seconds.
    double expected_s(const state::Job& job) const;
    /// Records the run time of a completed task of the job, in seconds. Has no effect if the job
    /// has no estimate.
    void record_run_time(const state::Job& job, double run_time_s);

  private:
    std::map<std::string, double>
        class_ratios_;  ///< observed run time / users' estimate, by job class
};

}  // namespace dunebridge::state
