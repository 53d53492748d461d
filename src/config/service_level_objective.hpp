/// \file
/// Service-level objectives that the settings name.
#pragma once

#include <string>

namespace dunebridge::config {

/// Something is to happen within a time, for jobs of a class or of all classes.
struct ServiceLevelObjective {
    /// As in the settings: `wait` (for the start), `finished` (for the end) or `guarantee` (for a
    /// team's guaranteed quota). Objectives of other kinds are ignored.
    std::string kind;
    std::string job_class;  ///< Empty: not of a class.
    double within_s = 0;    ///< 0: no time is given, the objective is ignored.
};

}  // namespace dunebridge::config
