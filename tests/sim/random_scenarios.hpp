/// \file
/// Scenarios of concurrent random faults, drawn by a seed.
#pragma once

#include "sim/simulated_cluster.hpp"

namespace dunebridge::sim {

/// Options drawn by the seed.
inline ScenarioOptions random_scenario_options(std::uint64_t seed) {
    ScenarioOptions options;
    options.seed = seed;
    options.fault_every_s = 0;
    options.faults_s = 150;
    options.drain_s = 2000;
    options.jobs = 24 + static_cast<int>(seed % 30);
    options.machines = 4 + seed % 12;
    if (seed % 3 == 0) options.task_s = 40;
    if (seed % 4 == 1) options.pipelines = 8;
    return options;
}

/// Injects two or three faults at a time, every 15 s, and runs to the end.
inline void run_random_scenario(SimulatedCluster& cluster, std::uint64_t seed) {
    for (int round = 0; round < 7; ++round) {
        cluster.run_for(Millis(15000));
        for (std::uint64_t n = 0; n < 2 + seed % 2; ++n) {
            cluster.random_faults().inject_any();
            cluster.run_for(Millis(800));
        }
    }
    cluster.run();
}

/// Options of scenarios with compound faults: boot faults, crashes, stalls and poll storms as well.
inline ScenarioOptions random_compound_options(std::uint64_t seed) {
    auto options = random_scenario_options(seed);
    options.faults_s = 200;
    options.drain_s = 2500;
    if (seed % 2 == 0) options.failing_jobs_percent = 15;
    if (seed % 3 == 1) options.guest_team = true;
    return options;
}

/// Combines compound faults with all others, and runs to the end.
inline void run_random_compound_scenario(SimulatedCluster& cluster) {
    constexpr int rounds = 7;
    for (int round = 0; round < rounds; ++round) {
        cluster.run_for(Millis(15000));
        cluster.random_faults().inject_any_compound();
        cluster.run_for(Millis(800));
        cluster.random_faults().inject_any();
        if (round % 2 == 0) cluster.random_faults().inject_any_compound();
    }
    cluster.run();
}

}  // namespace dunebridge::sim
