#include "provisioning/scale_in_decision.hpp"

#include <algorithm>
#include <compare>

namespace dunebridge::provisioning {

namespace {

// On-demand machines cost more, so they are released after this fraction of the idle timeout.
constexpr double kOnDemandIdleTimeoutRatio = 0.4;

double price_per_core(const ScalingInput& input, const InstancePool& pool) {
    for (const auto& type : input.machine_types) {
        if (type.name == pool.machine_type && type.cores > 0) {
            return (pool.spot ? type.spot_price : type.on_demand_price) / type.cores;
        }
    }
    return 0;
}

// Returns true if a machine of the pool could hold some pending task.
bool usable_by_pending_tasks(const ScalingInput& input, const InstancePool& pool) {
    const auto type =
        std::find_if(input.machine_types.begin(), input.machine_types.end(),
                     [&](const auto& other) { return other.name == pool.machine_type; });
    if (type == input.machine_types.end()) return false;
    return std::any_of(input.demand.begin(), input.demand.end(), [&](const Demand& demand) {
        return (demand.spot_allowed || !pool.spot) &&
               (demand.zone.empty() || demand.zone == pool.zone) &&
               wire::can_hold(*type, demand.task_resources, demand.machine_types);
    });
}

bool idle_too_long(const ScalingInput& input, const MachineCapacity& machine) {
    const double share = machine.pool.spot ? 1.0 : kOnDemandIdleTimeoutRatio;
    return machine.available && machine.idle_for > input.idle_timeout * share;
}

// Order of release: the idle machine with the higher rank is released first.
struct ReleaseRank {
    double price_per_core = 0;
    Seconds idle_for{0};
    auto operator<=>(const ReleaseRank&) const = default;
};

std::vector<std::size_t> release_candidates(const ScalingInput& input) {
    std::vector<std::size_t> candidates;
    for (std::size_t index = 0; index < input.machines.size(); ++index) {
        if (idle_too_long(input, input.machines[index])) candidates.push_back(index);
    }
    const auto rank = [&](std::size_t index) {
        const auto& machine = input.machines[index];
        return ReleaseRank{price_per_core(input, machine.pool), machine.idle_for};
    };
    std::sort(candidates.begin(), candidates.end(),
              [&](std::size_t a, std::size_t b) { return rank(a) > rank(b); });
    return candidates;
}

}  // namespace

std::vector<std::size_t> decide_scale_in(const ScalingInput& input, double target_cores,
                                         PlannedFleet& fleet) {
    std::vector<std::size_t> released;
    const bool scaling_out = fleet.requested() > 0;
    const double cores_for_load =
        std::max(input.average_used_cores * input.headroom, input.placed_cores);
    for (const auto index : release_candidates(input)) {
        const auto& machine = input.machines[index];
        // A machine that no pending task can use is not kept for the backlog.
        const bool usable = usable_by_pending_tasks(input, machine.pool);
        if (scaling_out && usable) continue;
        const double min_cores = usable ? target_cores : cores_for_load;
        if (fleet.cores() - machine.cores < min_cores) continue;
        fleet.remove(machine.cores);
        released.push_back(index);
    }
    return released;
}

}  // namespace dunebridge::provisioning
