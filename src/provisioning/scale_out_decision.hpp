/// \file
/// The part of a scaling plan that enlarges the fleet.
#pragma once

#include "provisioning/planned_fleet.hpp"
#include "provisioning/scaling_plan.hpp"

namespace dunebridge::provisioning {

/// Adds machines to the planned fleet: first one for each demand that no present machine could
/// hold, then as many as are missing to the target.
/// \param backlog_core_seconds the work that is pending.
void decide_scale_out(const ScalingInput& input, double target_cores, double backlog_core_seconds,
                      PlannedFleet& fleet);

}  // namespace dunebridge::provisioning
