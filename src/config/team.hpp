/// \file
/// A team's quota.
#pragma once

#include <string>

namespace dunebridge::config {

/// What a team is guaranteed of the cluster, and what it may use at most.
struct Team {
    std::string name;
    double cpus = 0;      ///< Guaranteed cores; 0: none.
    double gpus = 0;      ///< Guaranteed accelerators; 0: none.
    double cpus_max = 0;  ///< Most cores in use at once; 0: no limit.
    double gpus_max = 0;  ///< Most accelerators in use at once; 0: no limit.
};

}  // namespace dunebridge::config
