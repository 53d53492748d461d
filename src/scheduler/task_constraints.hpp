/// \file
/// What a job's tasks require of a machine, apart from free capacity at the moment.
#pragma once

#include <compare>
#include <optional>
#include <string>
#include <vector>

#include "state/job.hpp"
#include "state/machine.hpp"

namespace dunebridge::scheduler {

/// What a task requires of its machine. Jobs whose tasks have the same shape fit the same machines,
/// so that a shape that fits nowhere is looked for once a pass.
struct TaskShape {
    double cores = 0;
    double accelerators = 0;
    double ram_gb = 0;
    bool spot_allowed = false;
    std::optional<std::string> zone;
    std::optional<std::vector<std::string>> machine_types;

    auto operator<=>(const TaskShape&) const = default;
};

/// The shape of the job's tasks.
TaskShape shape_of(const state::Job& job);

/// Returns true if the zones of the job's other tasks decide where a task of it may run: the shape
/// alone does not say whether it fits.
bool has_zone_constraint(const state::Job& job);

/// Returns true if the job's constraints (spot, zone, machine types, tasks together or apart) and
/// the machine's reservation let a task of the job run on the machine. Says nothing of capacity.
bool is_eligible(const state::Job& job, const state::Machine& machine);

}  // namespace dunebridge::scheduler
