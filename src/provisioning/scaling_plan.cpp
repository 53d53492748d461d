#include "provisioning/scaling_plan.hpp"

#include <algorithm>

#include "provisioning/planned_fleet.hpp"
#include "provisioning/scale_in_decision.hpp"
#include "provisioning/scale_out_decision.hpp"

namespace dunebridge::provisioning {

namespace {

// Minimum run time assumed per task, as a shorter task does not occupy a machine for the whole
// backlog horizon.
constexpr Seconds kMinRunTime{5};

double backlog_core_seconds(const ScalingInput& input) {
    double total = 0;
    for (const auto& demand : input.demand) {
        total += demand.tasks * demand.task_resources.cores *
                 std::max(demand.run_time, kMinRunTime).count();
    }
    return total;
}

double target_cores(const ScalingInput& input, double backlog) {
    double pending_cores = 0;
    for (const auto& demand : input.demand) {
        pending_cores += demand.tasks * demand.task_resources.cores;
    }
    const double for_backlog = std::min(pending_cores, backlog / input.backlog_horizon.count());
    return std::max(input.average_used_cores * input.headroom, input.placed_cores + for_backlog);
}

}  // namespace

ScalingPlan plan_scaling(const ScalingInput& input) {
    ScalingPlan plan;
    PlannedFleet fleet(input);
    const double backlog = backlog_core_seconds(input);
    plan.target_cores = target_cores(input, backlog);
    decide_scale_out(input, plan.target_cores, backlog, fleet);
    plan.scale_in = decide_scale_in(input, plan.target_cores, fleet);
    plan.scale_out = fleet.scale_out();
    return plan;
}

}  // namespace dunebridge::provisioning
