/// \file
/// The requirements of a job's tasks on a machine, other than its current free capacity.
#pragma once

#include <compare>
#include <optional>
#include <string>
#include <vector>

#include "state/job.hpp"
#include "state/machine.hpp"

namespace dunebridge::scheduler {

/// The requirements of a task that depend only on the job's specification.
///
/// Tasks of the same shape fit on the same machines unless zone constraints apply (see
/// has_zone_constraint()). A shape that fits nowhere is therefore tried only once per pass.
struct TaskShape {
    double cores = 0;
    double accelerators = 0;
    double ram_gb = 0;
    bool spot_allowed = false;
    std::optional<std::string> zone;
    std::optional<std::vector<std::string>> machine_types;

    auto operator<=>(const TaskShape&) const = default;
};

/// Returns the shape of the job's tasks.
TaskShape shape_of(const state::Job& job);

/// Returns true if the machines on which a task may run also depend on the zones of the job's other
/// tasks. The shape alone then does not determine whether a task fits.
bool has_zone_constraint(const state::Job& job);

/// Returns true if the job's constraints (spot, zone, machine types, all tasks in a single zone or
/// spread over zones) and the machine's reservation allow a task of the job to run on the machine.
/// Does not check capacity.
bool is_eligible(const state::Job& job, const state::Machine& machine);

}  // namespace dunebridge::scheduler
