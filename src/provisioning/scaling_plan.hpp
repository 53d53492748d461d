// How large the fleet should be: pure decisions from demand, load and prices.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "wire/messages.hpp"

namespace dunebridge::provisioning {

// A place where the cloud may have machines: type, zone, spot or ordinary.
struct InstancePool {
    std::string machine_type;
    std::string zone;
    bool spot = false;
    auto operator<=>(const InstancePool&) const = default;
};

// Like tasks that wait, decided as a class.
struct Demand {
    Resources need;  // of one task
    bool spot_allowed = false;
    std::optional<std::vector<std::string>> machine_types;  // none: any
    std::string zone;                                       // empty: any
    double tasks = 0;
    double seconds = 0;           // expected run time of one task
    bool fits_somewhere = false;  // a machine of the fleet, empty or not, could hold one
};

struct Capacity {
    InstancePool pool;
    double cores = 0;
    double idle_s = 0;       // 0 while it has tasks
    bool available = false;  // up or starting, and not to be returned
};

struct ScalingInput {
    std::vector<wire::MachineType> types;
    std::vector<Demand> demand;
    std::vector<Capacity> machines;
    std::map<InstancePool, std::size_t> pending;  // being rented
    std::set<InstancePool> blocked;               // refused lately
    // From markets that do not deliver, so many machines are rented at most, unless there is no
    // other.
    std::map<InstancePool, std::size_t> allowances;
    double placed_cores = 0;
    double load_cores = 0;  // lately observed average of cores in use and asked for
    double headroom = 1.25;
    double boot_s = 30;     // a backlog that is worked off sooner needs no new machine
    double horizon_s = 40;  // within which the backlog should be worked off
    double idle_return_s = 60;
};

struct ScaleOutStep {
    InstancePool pool;
    std::size_t count = 0;
};

struct ScalingPlan {
    double target_cores = 0;
    std::vector<ScaleOutStep> rent;
    std::vector<std::size_t> scale_in;  // indices into machines
};

ScalingPlan plan(const ScalingInput& in);

}  // namespace dunebridge::provisioning
