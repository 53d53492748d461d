#include "provisioning/scale_out_decision.hpp"

#include <algorithm>
#include <cstddef>

#include "provisioning/pool_selection.hpp"

namespace dunebridge::provisioning {

namespace {

constexpr std::size_t kMaxMachinesPerPlan = 40;
// On-demand machines cost a multiple of spot machines. Requesting them to reach the target is
// worth their price only if the planned fleet would need longer than this multiple of the shortest
// boot time to process the backlog, or if the demand with the most work does not allow spot
// machines.
constexpr double kOnDemandBacklogFactor = 1.5;

double total_core_seconds(const Demand& demand) {
    return demand.tasks * demand.task_resources.cores * demand.run_time.count();
}

void add_machines_for_unplaceable_tasks(const ScalingInput& input, PlannedFleet& fleet) {
    for (const auto& demand : input.demand) {
        if (demand.fits_existing_machine || demand.tasks <= 0) continue;
        const double cores = demand.task_resources.cores * demand.tasks;
        const auto selected = select_pool(input, fleet, {&demand, cores, true});
        if (selected) fleet.add(selected->pool, selected->cores);
    }
}

// Returns the demand with the most work, which determines the machine type to add; null if there is
// no demand.
const Demand* largest_demand(const ScalingInput& input) {
    const auto it = std::max_element(input.demand.begin(), input.demand.end(),
                                     [](const Demand& a, const Demand& b) {
                                         return total_core_seconds(a) < total_core_seconds(b);
                                     });
    return it == input.demand.end() ? nullptr : &*it;
}

void add_machines_up_to_target(const ScalingInput& input, double target_cores,
                               double backlog_core_seconds, PlannedFleet& fleet) {
    const Demand* demand = largest_demand(input);
    const bool on_demand_required = demand && !demand->spot_allowed;
    while (fleet.cores() < target_cores && fleet.requested() < kMaxMachinesPerPlan) {
        const bool long_backlog =
            backlog_core_seconds >
            fleet.cores() * input.shortest_boot.count() * kOnDemandBacklogFactor;
        const auto selected =
            select_pool(input, fleet,
                        {demand, target_cores - fleet.cores(), long_backlog || on_demand_required});
        if (!selected) break;
        fleet.add(selected->pool, selected->cores);
    }
}

}  // namespace

void decide_scale_out(const ScalingInput& input, double target_cores, double backlog_core_seconds,
                      PlannedFleet& fleet) {
    add_machines_for_unplaceable_tasks(input, fleet);
    add_machines_up_to_target(input, target_cores, backlog_core_seconds, fleet);
}

}  // namespace dunebridge::provisioning
