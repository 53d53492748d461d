// A day of a fleet of thousands of machines: all come up, the leader ends, and then all controllers
// are silent for less than a lease.
#pragma once

#include <algorithm>

#include "sim/simulated_cluster.hpp"

namespace dunebridge::sim {

inline ScenarioOptions fleet_options(std::size_t machines) {
    ScenarioOptions options;
    options.seed = 21;
    options.large_fleet = true;
    options.fault_every_s = 0;
    options.faults_s = 150;
    options.jobs = static_cast<int>(machines / 4);
    options.machines = machines;
    options.most_tasks = 250;
    return options;
}

struct LargeFleetScenario {
    std::size_t most_up = 0;
    std::size_t killed_by_lease = 0;
};

inline LargeFleetScenario run_fleet_day(SimulatedCluster& world) {
    LargeFleetScenario day;
    const auto run_for = [&](int seconds) {
        for (int i = 0; i < seconds; i += 5) {
            world.run_for(Millis(5000));
            day.most_up = std::max(day.most_up, world.machines_up());
        }
    };
    run_for(200);
    world.crash_leader();
    run_for(30);
    world.crash_all(Millis(15000));
    run_for(60);
    day.killed_by_lease = world.killed_by_lease();
    world.run();
    return day;
}

}  // namespace dunebridge::sim
