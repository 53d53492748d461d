/// \file
/// A scenario of a fleet of thousands of machines: all boot, the leader crashes, and then all
/// controllers are down for less than a lease.
#pragma once

#include <algorithm>

#include "sim/simulated_cluster.hpp"

namespace dunebridge::sim {

/// Options for a fleet of that size.
inline ScenarioOptions large_fleet_options(std::size_t machines) {
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

/// What was measured before the drain time.
struct LargeFleetResult {
    std::size_t most_up = 0;
    std::size_t killed_by_lease = 0;
};

/// Runs the scenario to its end.
inline LargeFleetResult run_large_fleet_scenario(SimulatedCluster& cluster) {
    LargeFleetResult result;
    const auto run_for = [&](int seconds) {
        for (int i = 0; i < seconds; i += 5) {
            cluster.run_for(Millis(5000));
            result.most_up = std::max(result.most_up, cluster.machines_up());
        }
    };
    run_for(200);
    cluster.faults().crash_leader();
    run_for(30);
    cluster.faults().crash_all(Millis(15000));
    run_for(60);
    result.killed_by_lease = cluster.killed_by_lease();
    cluster.run();
    return result;
}

}  // namespace dunebridge::sim
