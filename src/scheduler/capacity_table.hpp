/// \file
/// The free capacity of all machines during a scheduling pass.
#pragma once

#include <cstddef>
#include <vector>

#include "base/resources.hpp"
#include "scheduler/bin_packing.hpp"
#include "state/cluster_state.hpp"
#include "state/machine.hpp"
#include "state/worker_liveness.hpp"

namespace dunebridge::scheduler {

/// Machines that can be given work and their free capacity, for the length of one scheduling pass.
///
/// Best fit and preemption share it, so that capacity that one of them has assigned is not assigned
/// again. It points into the cluster state: clear() must be called at the end of the pass.
class CapacityTable {
  public:
    CapacityTable(state::ClusterState& cluster_state, const state::WorkerLiveness& liveness)
        : state_(cluster_state), liveness_(liveness) {}

    /// Lists the schedulable machines that will have at least so many cores free once the tasks
    /// that are being stopped are gone. Most machines are full most of the time: the others are
    /// only remembered.
    void build(double min_cores);
    /// Lists the schedulable ones among the machines that build() left out: preemption can make
    /// room on them. To be called once a pass at most.
    void add_full_machines();
    /// Ends the pass.
    void clear();

    std::size_t size() const { return machines_.size(); }
    state::Machine& machine(MachineIndex index) const { return *machines_[index]; }
    const std::vector<FreeCapacity>& capacities() const { return capacities_; }

    /// Takes the capacity for a task that is placed now.
    void allocate(MachineIndex index, const Resources& need);
    /// Sets capacity aside for a task that is placed once tasks that are being stopped are gone.
    void reserve_after_stops(MachineIndex index, const Resources& need);
    /// Counts what a task leaves that is being stopped from now on.
    void add_stopped(MachineIndex index, const Resources& released);

  private:
    void add(state::Machine& machine);

    state::ClusterState& state_;
    const state::WorkerLiveness& liveness_;
    std::vector<state::Machine*> machines_;
    std::vector<FreeCapacity> capacities_;  ///< of the machines at the same index
    std::vector<state::Machine*> full_machines_;
};

}  // namespace dunebridge::scheduler
