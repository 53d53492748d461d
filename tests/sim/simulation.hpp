/// \file
/// What all parts of a simulated cluster share: options, virtual time, random numbers, counters and
/// the violations found so far.
#pragma once

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "sim/clock.hpp"
#include "sim/fake_worker.hpp"
#include "sim/scenario_options.hpp"
#include "sim/statistics.hpp"

namespace dunebridge::sim {

/// All workers that ever came up, by machine; those whose machines are gone stay listed.
using Machines = std::map<MachineName, std::unique_ptr<FakeWorker>>;

/// Something that happens by chance, up to some moment.
struct FaultWindow {
    double share = 0;  ///< Probability of each occurrence, 0 to 1.
    Instant until{};
};

/// The shared state of one simulated cluster. Its parts hold references to it; SimulatedCluster
/// owns it.
struct Simulation {
    explicit Simulation(const ScenarioOptions& scenario);

    /// Draws whether the fault occurs this time; draws nothing once its window is over.
    bool occurs(const FaultWindow& window);
    /// Records that the controllers have broken a guarantee of the protocol.
    void violated(const std::string& invariant, const std::string& detail);

    const ScenarioOptions options;
    std::mt19937_64 rng;
    /// Separate from `rng`, so that the faults that tests inject do not change the other draws.
    std::mt19937_64 fault_rng;
    Clock clock;
    config::Config config;
    Instant faults_end;  ///< No random fault begins after this moment.
    Statistics statistics;
    std::vector<std::string> violations;
};

}  // namespace dunebridge::sim
