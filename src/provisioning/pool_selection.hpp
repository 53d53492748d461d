/// \file
/// Selects the pool from which an additional machine is requested.
#pragma once

#include <optional>

#include "provisioning/planned_fleet.hpp"
#include "provisioning/scaling_plan.hpp"

namespace dunebridge::provisioning {

/// Requirements for an additional machine.
struct MachineRequirement {
    const Demand* demand = nullptr;  ///< tasks that it must be able to hold; null: any
    double missing_cores = 0;        ///< cores beyond this number are paid for but not needed
    bool on_demand_allowed = false;  ///< false: only spot machines may be requested
};

/// The selected pool and the number of cores of one of its machines.
struct SelectedPool {
    InstancePool pool;
    double cores = 0;
};

/// Returns the pool with the lowest cost per core that meets the requirement, or nullopt if there
/// is none. Unhealthy pools that have reached their limit are used only if no other pool is left.
/// The cost increases with the number of machines in the zone, so that the loss of a zone, or many
/// preemptions in it, affects a smaller part of the fleet.
std::optional<SelectedPool> select_pool(const ScalingInput& input, const PlannedFleet& fleet,
                                        const MachineRequirement& requirement);

}  // namespace dunebridge::provisioning
