/// \file
/// Service-level objectives from the settings.
#pragma once

#include <string>

namespace dunebridge::config {

/// A time limit for an event in the life of a job, for one job class or for all of them.
struct ServiceLevelObjective {
    /// The event, as named in the settings: `wait` (until the job starts), `finished` (until it
    /// ends) or `guarantee` (until a team gets its guaranteed quota). Other kinds are ignored.
    std::string kind;
    std::string job_class;  ///< Empty: applies to all classes.
    double within_s = 0;    ///< Time limit in seconds; 0: none given, the objective is ignored.
};

}  // namespace dunebridge::config
