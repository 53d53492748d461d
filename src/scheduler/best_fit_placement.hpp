/// \file
/// Places pending tasks on machines that have room now, by best fit.
#pragma once

#include <cstddef>
#include <set>

#include "scheduler/capacity_table.hpp"
#include "scheduler/task_constraints.hpp"
#include "state/cluster_state.hpp"
#include "state/job.hpp"

namespace dunebridge::scheduler {

/// Places a job's tasks machine after machine, the fullest first.
class BestFitPlacement {
  public:
    BestFitPlacement(state::ClusterState& cluster_state, CapacityTable& capacities)
        : state_(cluster_state), capacities_(capacities) {}

    /// Places up to `max_tasks` pending tasks of the job; returns how many it has placed.
    std::size_t place(state::Job& job, std::size_t max_tasks);
    /// Ends the pass.
    void clear() { unplaceable_shapes_.clear(); }

  private:
    std::size_t fill(state::Job& job, MachineIndex index, std::size_t max_tasks);

    state::ClusterState& state_;
    CapacityTable& capacities_;
    /// Shapes of which a task was found to fit no machine in this pass. Free capacity only shrinks
    /// during a pass, so that no other task of the shape fits either.
    std::set<TaskShape> unplaceable_shapes_;
};

}  // namespace dunebridge::scheduler
