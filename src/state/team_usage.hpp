/// \file
/// Resource usage of a team.
#pragma once

namespace dunebridge::state {

/// Cores and accelerators used by all placements of a team. Written by ClusterState.
struct TeamUsage {
    double cpus = 0;
    double gpus = 0;
};

}  // namespace dunebridge::state
