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

// `single_zone`: all tasks of the job must run in one zone.
bool satisfies_zone_affinity(const Job& job, const Machine& machine) {
    return job.placements_by_zone.empty() || job.placements_by_zone.contains(machine.zone);
}

// `spread_zones`: at most half of the job's tasks, rounded up, may run in one zone.
bool satisfies_zone_spread(const Job& job, const Machine& machine) {
    std::uint32_t placed_in_zone = 0;
    for (const auto& [zone, count] : job.placements_by_zone) {
        // A task whose zone is unknown may be in this zone.
        if (zone == machine.zone || zone.empty()) placed_in_zone += count;
    }
    return placed_in_zone < (job.spec.task_count + 1) / 2;
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
    if (spec.single_zone && !satisfies_zone_affinity(job, machine)) return false;
    return !spec.spread_zones || satisfies_zone_spread(job, machine);
}

}  // namespace dunebridge::scheduler
