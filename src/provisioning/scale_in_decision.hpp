/// \file
/// The scale-in part of a scaling plan.
#pragma once

#include <cstddef>
#include <vector>

#include "provisioning/planned_fleet.hpp"
#include "provisioning/scaling_plan.hpp"

namespace dunebridge::provisioning {

/// Selects idle machines to release and removes them from the planned fleet. Must be called after
/// decide_scale_out(): while the plan requests machines, machines that a pending task could use are
/// kept.
/// \return indices into ScalingInput::machines, ordered by decreasing price per core.
std::vector<std::size_t> decide_scale_in(const ScalingInput& input, double target_cores,
                                         PlannedFleet& fleet);

}  // namespace dunebridge::provisioning
