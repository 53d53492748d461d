/// \file
/// The scale-out part of a scaling plan.
#pragma once

#include "provisioning/planned_fleet.hpp"
#include "provisioning/scaling_plan.hpp"

namespace dunebridge::provisioning {

/// Adds machines to the planned fleet: first one for each demand that fits on no existing machine,
/// then as many as are needed to reach the target, up to a limit per plan.
/// \param backlog_core_seconds estimated work of all pending tasks.
void decide_scale_out(const ScalingInput& input, double target_cores, double backlog_core_seconds,
                      PlannedFleet& fleet);

}  // namespace dunebridge::provisioning
