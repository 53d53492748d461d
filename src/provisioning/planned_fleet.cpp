#include "provisioning/planned_fleet.hpp"

#include <algorithm>

namespace dunebridge::provisioning {

PlannedFleet::PlannedFleet(const ScalingInput& input) {
    std::map<std::string, double> cores_by_type;
    for (const auto& type : input.machine_types) cores_by_type[type.name] = type.cores;
    for (const auto& machine : input.machines) {
        if (machine.available) count_machines(machine.pool, machine.cores, 1);
    }
    for (const auto& [pool, machines] : input.outstanding_machines) {
        count_machines(pool, cores_by_type[pool.machine_type], machines);
    }
}

void PlannedFleet::count_machines(const InstancePool& pool, double cores, std::size_t machines) {
    cores_ += cores * static_cast<double>(machines);
    machines_by_zone_[pool.zone] += machines;
}

std::size_t PlannedFleet::machines_in_zone(const std::string& zone) const {
    const auto it = machines_by_zone_.find(zone);
    return it == machines_by_zone_.end() ? 0 : it->second;
}

bool PlannedFleet::limit_reached(const ScalingInput& input, const InstancePool& pool) const {
    const auto limit = input.unhealthy_pool_limits.find(pool);
    if (limit == input.unhealthy_pool_limits.end()) return false;
    std::size_t requested = 0;
    for (const auto& step : scale_out_) {
        const bool same_type = step.pool.machine_type == pool.machine_type;
        if (same_type && step.pool.zone == pool.zone) requested += step.count;
    }
    return requested >= limit->second;
}

void PlannedFleet::add(const InstancePool& pool, double cores) {
    count_machines(pool, cores, 1);
    ++requested_;
    const auto step = std::find_if(scale_out_.begin(), scale_out_.end(),
                                   [&](const ScaleOutStep& other) { return other.pool == pool; });
    if (step != scale_out_.end()) {
        ++step->count;
    } else {
        scale_out_.push_back({pool, 1});
    }
}

}  // namespace dunebridge::provisioning
