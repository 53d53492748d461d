/// \file
/// Named scenarios for parameterized tests, and the names of such tests.
#pragma once

#include <gtest/gtest.h>

#include <cstdint>
#include <ostream>
#include <string>
#include <tuple>

#include "sim/scenario_options.hpp"

namespace dunebridge::sim {

/// A scenario that a test runs with several seeds. `Arguments` are what `inject` takes.
template <class... Arguments>
struct NamedScenario {
    const char* name;
    void (*inject)(Arguments...);
    /// Changes the options that the scenario runs with.
    void (*options)(ScenarioOptions&) = [](ScenarioOptions&) {};
};

template <class... Arguments>
void PrintTo(const NamedScenario<Arguments...>& scenario, std::ostream* out) {
    *out << scenario.name;
}

/// Names a test after its scenario and its seed.
template <class Scenario>
std::string name_with_seed(const testing::TestParamInfo<std::tuple<Scenario, std::uint64_t>>& row) {
    const auto& [scenario, seed] = row.param;
    return std::string(scenario.name) + "_" + std::to_string(seed);
}

}  // namespace dunebridge::sim
