/// \file
/// The part of a scaling plan that makes the fleet smaller.
#pragma once

#include <cstddef>
#include <vector>

#include "provisioning/planned_fleet.hpp"
#include "provisioning/scaling_plan.hpp"

namespace dunebridge::provisioning {

/// Chooses idle machines to be released and takes them out of the planned fleet. To be called after
/// decide_scale_out(): while the plan requests machines, a machine that some pending task could use
/// is kept.
/// \return indices into ScalingInput::machines, the most expensive core first.
std::vector<std::size_t> decide_scale_in(const ScalingInput& input, double target_cores,
                                         PlannedFleet& fleet);

}  // namespace dunebridge::provisioning
