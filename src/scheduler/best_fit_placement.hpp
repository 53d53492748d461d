/// \file
/// Best-fit placement of pending tasks on machines that have enough free capacity now.
#pragma once

#include <cstddef>
#include <set>

#include "scheduler/capacity_table.hpp"
#include "scheduler/task_constraints.hpp"
#include "state/cluster_state.hpp"
#include "state/job.hpp"

namespace dunebridge::scheduler {

/// Places the tasks of a job on one machine after another, starting with the fullest.
///
/// It keeps state for the length of one scheduling pass; clear() must be called at the end of the
/// pass.
class BestFitPlacement {
  public:
    BestFitPlacement(state::ClusterState& cluster_state, CapacityTable& capacities)
        : state_(cluster_state), capacities_(capacities) {}

    /// Places up to `max_tasks` pending tasks of the job. Returns the number of tasks placed.
    std::size_t place(state::Job& job, std::size_t max_tasks);
    /// Discards the state of the current scheduling pass.
    void clear() { unplaceable_shapes_.clear(); }

  private:
    std::size_t place_on_machine(state::Job& job, MachineIndex index, std::size_t max_tasks);

    state::ClusterState& state_;
    CapacityTable& capacities_;
    /// Shapes for which no machine had room in this pass. Free capacity only shrinks during a pass,
    /// so other tasks of the same shape cannot fit either and are not tried.
    std::set<TaskShape> unplaceable_shapes_;
};

}  // namespace dunebridge::scheduler
