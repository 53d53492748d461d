/// \file
/// The resource quota of a team.
#pragma once

#include <string>

namespace dunebridge::config {

/// The share of the cluster that a team is guaranteed, and the most that it may use.
struct Team {
    std::string name;
    double cpus = 0;      ///< Guaranteed cores; 0: none.
    double gpus = 0;      ///< Guaranteed accelerators; 0: none.
    double cpus_max = 0;  ///< Largest number of cores in use at once; 0: no limit.
    double gpus_max = 0;  ///< Largest number of accelerators in use; 0: no limit.
};

}  // namespace dunebridge::config
