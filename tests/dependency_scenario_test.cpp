/// \file
/// Whole simulated days with pipelines of dependent jobs, with faults drawn at random.
#include <gtest/gtest.h>

#include "sim/expectations.hpp"
#include "sim/random_scenarios.hpp"

namespace dunebridge::sim {
namespace {

// Whole days in which most chains are too long for one transaction, as it has few preconditions.
class ManyAncestorsScenarios : public testing::TestWithParam<std::uint64_t> {};

TEST_P(ManyAncestorsScenarios, InvariantsHoldAndJobsEnd) {
    auto options = random_scenario_options(GetParam());
    options.pipelines = 8;
    options.fan_in = 24;
    options.limits = config::KvLimits({200, 80, 16, 48}, config::KvLimits::Set{200, 80, 2, 5});
    SimulatedCluster cluster(options);
    run_random_scenario(cluster, GetParam());
    expect_completed(cluster);
}
INSTANTIATE_TEST_SUITE_P(Seeds, ManyAncestorsScenarios, testing::Range<std::uint64_t>(9000, 9012));

class DependencyScenarios : public testing::TestWithParam<std::uint64_t> {};

TEST_P(DependencyScenarios, InvariantsHoldAndJobsEnd) {
    auto options = random_scenario_options(GetParam());
    options.pipelines = 12;
    SimulatedCluster cluster(options);
    run_random_scenario(cluster, GetParam());
    expect_completed(cluster);
}
INSTANTIATE_TEST_SUITE_P(Seeds, DependencyScenarios, testing::Range<std::uint64_t>(8000, 8016));

}  // namespace
}  // namespace dunebridge::sim
