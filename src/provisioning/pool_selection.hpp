/// \file
/// Which pool a further machine is requested from.
#pragma once

#include <optional>

#include "provisioning/planned_fleet.hpp"
#include "provisioning/scaling_plan.hpp"

namespace dunebridge::provisioning {

/// What a machine is wanted for.
struct MachineRequirement {
    const Demand* demand = nullptr;  ///< that it must be able to hold; null: anything
    double missing_cores = 0;        ///< a machine with more is partly paid for nothing
    bool on_demand_allowed = false;  ///< on-demand machines may be taken, not only spot ones
};

/// A pool, and the cores of one of its machines.
struct SelectedPool {
    InstancePool pool;
    double cores = 0;
};

/// The pool with the lowest cost per core that meets the requirement; none if there is no such
/// pool. Pools that have reached their limit are used only if no other is left. The cost grows with
/// the machines in the zone, so that the loss of one zone, or a wave of preemptions in it, takes a
/// smaller part of the fleet.
std::optional<SelectedPool> select_pool(const ScalingInput& input, const PlannedFleet& fleet,
                                        const MachineRequirement& requirement);

}  // namespace dunebridge::provisioning
