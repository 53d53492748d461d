/// \file
/// What a team's placements take.
#pragma once

namespace dunebridge::state {

/// What all placements of a team take, in cores and accelerators. Written by ClusterState.
struct TeamUsage {
    double cpus = 0;
    double gpus = 0;
};

}  // namespace dunebridge::state
