#include "sim/simulation.hpp"

#include <fmt/format.h>

namespace dunebridge::sim {

Simulation::Simulation(const ScenarioOptions& scenario)
    : options(scenario),
      rng(scenario.seed),
      fault_rng(scenario.seed * 31 + 5),
      config(make_config(scenario)),
      faults_end(clock.now() + from_seconds(scenario.faults_s)) {
    config.kv_limits = scenario.limits;
    config.job_cache = scenario.job_cache;
    if (scenario.large_fleet) config.kv_limits = config::KvLimits({180, 70, 16, 48});
}

bool Simulation::occurs(const FaultWindow& window) {
    return clock.now() < window.until &&
           std::uniform_real_distribution<>(0, 1)(fault_rng) < window.share;
}

void Simulation::violated(const std::string& invariant, const std::string& detail) {
    violations.push_back(fmt::format("{} at {:.2f} s: {}", invariant,
                                     to_seconds(clock.now().time_since_epoch()), detail));
}

}  // namespace dunebridge::sim
