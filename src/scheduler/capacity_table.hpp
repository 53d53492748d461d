/// \file
/// The free capacity of the schedulable machines during a scheduling pass.
#pragma once

#include <cstddef>
#include <vector>

#include "base/resources.hpp"
#include "scheduler/bin_packing.hpp"
#include "state/cluster_state.hpp"
#include "state/machine.hpp"
#include "state/worker_liveness.hpp"

namespace dunebridge::scheduler {

/// The machines that can receive tasks and their free capacity, for one scheduling pass.
///
/// Best-fit placement and preemption share the table, so that neither assigns capacity that the
/// other has already assigned. The table holds pointers into the cluster state: clear() must be
/// called at the end of the pass.
class CapacityTable {
  public:
    CapacityTable(state::ClusterState& cluster_state, const state::WorkerLiveness& liveness)
        : state_(cluster_state), liveness_(liveness) {}

    /// Adds the schedulable machines that will have at least `min_cores` free cores once the tasks
    /// that are being stopped have exited.
    ///
    /// Most machines are full most of the time, so the others are only noted, for
    /// add_full_machines(), without the cost of checking whether they are schedulable.
    void build(double min_cores);
    /// Adds the schedulable machines that build() left out because they are full; preemption can
    /// free capacity on them. Must be called at most once per pass.
    void add_full_machines();
    /// Empties the table at the end of a pass.
    void clear();

    std::size_t size() const { return machines_.size(); }
    state::Machine& machine(MachineIndex index) const { return *machines_[index]; }
    const std::vector<FreeCapacity>& capacities() const { return capacities_; }

    /// Allocates capacity to a task that is placed now.
    void allocate(MachineIndex index, const Resources& need);
    /// Reserves capacity for a task that will be placed once tasks that are being stopped have
    /// exited.
    void reserve_after_stops(MachineIndex index, const Resources& need);
    /// Adds the resources that a task will release, after a stop of the task was requested.
    void add_releasing(MachineIndex index, const Resources& released);

  private:
    void add(state::Machine& machine);

    state::ClusterState& state_;
    const state::WorkerLiveness& liveness_;
    std::vector<state::Machine*> machines_;
    std::vector<FreeCapacity> capacities_;  ///< parallel to `machines_`
    /// Machines that build() left out.
    std::vector<state::Machine*> full_machines_;
};

}  // namespace dunebridge::scheduler
