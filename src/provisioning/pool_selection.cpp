#include "provisioning/pool_selection.hpp"

#include <algorithm>
#include <cstdint>
#include <limits>

namespace dunebridge::provisioning {

namespace {

// The boot time is paid for too. The cost model assumes this time of use after the boot.
constexpr double kUseAfterBoot_s = 150;
constexpr double kUnneededCoresPenalty = 0.3;
constexpr double kZoneSharePenalty = 0.02;

enum class PoolLimits : std::uint8_t { enforced, ignored };

bool is_eligible_type(const wire::MachineType& type, const Demand* demand) {
    if (type.cores <= 0) return false;
    return !demand || wire::can_hold(type, demand->task_resources, demand->machine_types);
}

bool is_eligible_pool(const ScalingInput& input, const PlannedFleet& fleet,
                      const MachineRequirement& requirement, PoolLimits limits,
                      const InstancePool& pool) {
    const auto* demand = requirement.demand;
    if (demand && !demand->zone.empty() && demand->zone != pool.zone) return false;
    if (pool.spot && demand && !demand->spot_allowed) return false;
    if (!pool.spot && !requirement.on_demand_allowed) return false;
    if (input.in_backoff.contains(pool)) return false;
    return limits == PoolLimits::ignored || !fleet.limit_reached(input, pool);
}

double cost_per_core(const wire::MachineType& type, const InstancePool& pool,
                     const PlannedFleet& fleet, double missing_cores) {
    // A machine with more cores than are missing is not fully used at first, but paid for in full.
    const double unneeded_share = std::max(0.0, type.cores - missing_cores) / type.cores;
    const auto in_zone = static_cast<double>(fleet.machines_in_zone(pool.zone));
    return (pool.spot ? type.spot_price : type.on_demand_price) / type.cores *
           (1 + kUnneededCoresPenalty * unneeded_share) * (1 + type.startup_s / kUseAfterBoot_s) *
           (1 + kZoneSharePenalty * in_zone);
}

std::optional<SelectedPool> find_cheapest_pool(const ScalingInput& input, const PlannedFleet& fleet,
                                               const MachineRequirement& requirement,
                                               PoolLimits limits) {
    std::optional<SelectedPool> cheapest;
    double lowest_cost = std::numeric_limits<double>::max();
    const auto consider = [&](const wire::MachineType& type, const InstancePool& pool) {
        if (!is_eligible_pool(input, fleet, requirement, limits, pool)) return;
        const double cost = cost_per_core(type, pool, fleet, requirement.missing_cores);
        if (cost >= lowest_cost) return;
        lowest_cost = cost;
        cheapest = {pool, type.cores};
    };
    for (const auto& type : input.machine_types) {
        if (!is_eligible_type(type, requirement.demand)) continue;
        for (const auto& zone : type.zones) {
            for (const bool spot : {true, false}) consider(type, {type.name, zone, spot});
        }
    }
    return cheapest;
}

}  // namespace

std::optional<SelectedPool> select_pool(const ScalingInput& input, const PlannedFleet& fleet,
                                        const MachineRequirement& requirement) {
    auto selected = find_cheapest_pool(input, fleet, requirement, PoolLimits::enforced);
    if (selected) return selected;
    return find_cheapest_pool(input, fleet, requirement, PoolLimits::ignored);
}

}  // namespace dunebridge::provisioning
