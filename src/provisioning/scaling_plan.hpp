/// \file
/// Plans the size of the fleet as a pure function of demand, load and prices, without state or I/O.
/// Provisioner collects the input and executes the plan.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/resources.hpp"
#include "base/types.hpp"
#include "provisioning/instance_pool.hpp"
#include "wire/messages.hpp"

namespace dunebridge::provisioning {

/// The pending tasks of one job, which all need the same resources and are planned together.
struct Demand {
    Resources task_resources;  ///< of one task
    bool spot_allowed = false;
    std::optional<std::vector<std::string>> machine_types;  ///< nullopt: any type
    std::string zone;                                       ///< empty: any zone
    double tasks = 0;     ///< an integer; a double because it is multiplied by cores
    Seconds run_time{0};  ///< expected for one task
    /// True if some machine of the fleet, when empty, could hold one of the tasks.
    bool fits_existing_machine = false;
};

/// The capacity that one machine of the fleet contributes.
struct MachineCapacity {
    InstancePool pool;
    double cores = 0;
    Seconds idle_for{0};     ///< zero while the machine has tasks
    bool available = false;  ///< counts as capacity: up or booting, and not leaving the fleet
};

/// All data that a scaling plan depends on.
struct ScalingInput {
    std::vector<wire::MachineType> machine_types;
    std::vector<Demand> demand;
    std::vector<MachineCapacity> machines;
    /// Number of machines, for each pool, in requests that the cloud has not answered yet.
    std::map<InstancePool, std::size_t> outstanding_machines;
    /// Pools that recently lacked capacity; nothing is requested from them.
    std::set<InstancePool> in_backoff;
    /// For each unhealthy pool, whose machines have not booted in time, how many more machines may
    /// be requested. A limit is exceeded only if no other pool is left.
    std::map<InstancePool, std::size_t> unhealthy_pool_limits;
    double placed_cores = 0;        ///< allocated to placed tasks now
    double average_used_cores = 0;  ///< moving average over about the last minute
    double headroom = 1.25;         ///< ratio of target cores to average used cores
    /// Smallest nominal boot time of all machine types. A backlog that takes no longer than a
    /// multiple of it is in itself no reason to request on-demand machines.
    Seconds shortest_boot{30};
    Seconds backlog_horizon{40};  ///< time within which the backlog should be processed
    Seconds idle_timeout{60};     ///< idle spot machines may be released after this time
};

/// A number of machines to request from one pool.
struct ScaleOutStep {
    InstancePool pool;
    std::size_t count = 0;
};

/// The result of planning: the target size, and the machines to request and to release.
struct ScalingPlan {
    double target_cores = 0;
    std::vector<ScaleOutStep> scale_out;  ///< one step per pool, in the order of selection
    std::vector<std::size_t> scale_in;    ///< indices into ScalingInput::machines
};

/// Decides which machines to request and which to release. Deterministic: equal input results in an
/// equal plan.
ScalingPlan plan_scaling(const ScalingInput& input);

}  // namespace dunebridge::provisioning
