#include "scheduler/task_constraints.hpp"

#include <algorithm>
#include <cstdint>

namespace dunebridge::scheduler {

using state::Job;
using state::Machine;

namespace {

bool has_allowed_type(const Job& job, const Machine& machine) {
    const auto& types = job.spec.machine_types;
    if (!types) return true;
    return std::find(types->begin(), types->end(), machine.machine_type) != types->end();
}

// The tasks of the job must be in one zone.
bool keeps_together(const Job& job, const Machine& machine) {
    return job.placements_by_zone.empty() || job.placements_by_zone.contains(machine.zone);
}

// At most half of the job's tasks may be in one zone.
bool keeps_apart(const Job& job, const Machine& machine) {
    std::uint32_t placed_here = 0;
    for (const auto& [zone, count] : job.placements_by_zone) {
        // Tasks whose zone is not known may be in this one.
        if (zone == machine.zone || zone.empty()) placed_here += count;
    }
    return placed_here < (job.spec.task_count + 1) / 2;
}

}  // namespace

TaskShape shape_of(const Job& job) {
    const auto& spec = job.spec;
    return {spec.cores,        spec.accelerators, spec.ram_gb,
            spec.spot_allowed, spec.zone,         spec.machine_types};
}

bool has_zone_constraint(const Job& job) { return job.spec.single_zone || job.spec.spread_zones; }

bool is_eligible(const Job& job, const Machine& machine) {
    const auto& spec = job.spec;
    if (machine.spot && !spec.spot_allowed) return false;
    if (machine.reservation.job_sequence != 0 && machine.reservation.job_sequence != job.sequence)
        return false;
    if (spec.zone && *spec.zone != machine.zone) return false;
    if (!has_allowed_type(job, machine)) return false;
    if (spec.single_zone && !keeps_together(job, machine)) return false;
    return !spec.spread_zones || keeps_apart(job, machine);
}

}  // namespace dunebridge::scheduler
