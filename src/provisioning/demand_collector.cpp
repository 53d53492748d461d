#include "provisioning/demand_collector.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <string>
#include <utility>

namespace dunebridge::provisioning {

using state::JobState;
using state::Machine;

namespace {
constexpr double kUnlimitedCores = 1e12;  // for a team without a quota
}  // namespace

bool is_excluded_from_capacity(const Machine& machine, const BootMonitor& boot_monitor) {
    return machine.instance.deleting || machine.worker.cordoned ||
           machine.worker.preemption_at.has_value() || boot_monitor.replacement_allowed(machine);
}

bool DemandCollector::fits_existing_machine(const Demand& demand) const {
    const auto& machines = state_.machines();
    return std::any_of(machines.begin(), machines.end(), [&](const auto& entry) {
        const Machine& machine = entry.second;
        const auto* type = machine_types_.find(machine.machine_type);
        if (!type || is_excluded_from_capacity(machine, boot_monitor_)) return false;
        if (machine.spot && !demand.spot_allowed) return false;
        if (!demand.zone.empty() && machine.zone != demand.zone) return false;
        return wire::can_hold(*type, demand.task_resources, demand.machine_types);
    });
}

Demand DemandCollector::demand_of(const state::Job& job) const {
    Demand demand;
    demand.task_resources = job.task_resources();
    demand.spot_allowed = job.spec.spot_allowed;
    demand.machine_types = job.spec.machine_types;
    demand.zone = job.spec.zone.value_or("");
    demand.run_time = Seconds(run_time_estimator_.expected_s(job));
    demand.tasks = static_cast<double>(job.placeable_tasks());
    return demand;
}

std::vector<Demand> DemandCollector::collect() const {
    std::vector<Demand> collected;
    std::map<std::string, double> remaining_quota_cores;  // by team
    for (const auto& team : config_.teams) {
        const bool has_quota = team.cpus_max > 0;
        remaining_quota_cores[team.name] =
            has_quota ? team.cpus_max - state_.team_usage(team.name).cpus : kUnlimitedCores;
    }
    for (const auto& [id, job] : state_.jobs()) {
        if (job.state != JobState::active || job.pending_tasks.empty() || job.is_blocked())
            continue;
        auto demand = demand_of(job);
        const double cores = demand.task_resources.cores;
        auto& remaining_cores = remaining_quota_cores[job.spec.team];
        if (cores > 0) demand.tasks = std::min(demand.tasks, std::floor(remaining_cores / cores));
        if (demand.tasks <= 0) continue;
        demand.fits_existing_machine = fits_existing_machine(demand);
        // No machines are requested for a faulty job, whose tasks fail everywhere, unless it fits
        // on no existing machine.
        if (job.failures.faulty && demand.fits_existing_machine) continue;
        remaining_cores -= demand.tasks * cores;
        collected.push_back(std::move(demand));
    }
    return collected;
}

}  // namespace dunebridge::provisioning
