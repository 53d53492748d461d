/// \file
/// How large the fleet should be: a pure function of demand, load and prices. It has no state and
/// sends nothing; Provisioner collects its input and carries out its result.
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

/// Pending tasks of one job, which all need the same resources and are planned as a class.
struct Demand {
    Resources task_resources;  ///< of one task
    bool spot_allowed = false;
    std::optional<std::vector<std::string>> machine_types;  ///< none: any type will do
    std::string zone;                                       ///< empty: any zone will do
    double tasks = 0;     ///< a whole number; a double as it is multiplied by cores
    Seconds run_time{0};  ///< expected for one task
    /// Some machine of the fleet could hold one such task if the machine were empty.
    bool fits_existing_machine = false;
};

/// What one machine of the fleet contributes.
struct MachineCapacity {
    InstancePool pool;
    double cores = 0;
    Seconds idle_for{0};     ///< zero while the machine has tasks
    bool available = false;  ///< up or booting, and not about to leave the fleet
};

/// Everything that a plan depends on.
struct ScalingInput {
    std::vector<wire::MachineType> machine_types;
    std::vector<Demand> demand;
    std::vector<MachineCapacity> machines;
    /// Machines that have been requested and that the cloud has not answered for yet.
    std::map<InstancePool, std::size_t> outstanding_machines;
    /// Pools that have refused lately: nothing is requested from them.
    std::set<InstancePool> in_backoff;
    /// For pools whose machines have not come up lately: how many more may be requested. A limit
    /// is exceeded only where no other pool is left.
    std::map<InstancePool, std::size_t> unhealthy_pool_limits;
    double placed_cores = 0;        ///< held by tasks now
    double average_used_cores = 0;  ///< smoothed over the last minute or so
    double headroom = 1.25;         ///< capacity wanted over the average in use
    Seconds shortest_boot{30};      ///< a backlog that is worked off sooner needs no new machine
    Seconds backlog_horizon{40};    ///< within which the backlog should be worked off
    Seconds idle_timeout{60};       ///< after which an idle machine may be released
};

/// So many machines to be requested from one pool.
struct ScaleOutStep {
    InstancePool pool;
    std::size_t count = 0;
};

/// What is to be done.
struct ScalingPlan {
    double target_cores = 0;
    std::vector<ScaleOutStep> scale_out;  ///< one step a pool, in the order of choice
    std::vector<std::size_t> scale_in;    ///< indices into ScalingInput::machines
};

/// Decides which machines to request and which to release. Deterministic: the same input gives the
/// same plan.
ScalingPlan plan_scaling(const ScalingInput& input);

}  // namespace dunebridge::provisioning
