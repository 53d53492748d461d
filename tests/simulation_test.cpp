// Seeded random days: the cores of three controllers against stand-ins, with the protocol's rules
// checked after every step, and every job over some time after the last fault.
#include <gtest/gtest.h>

#include "sim/world.hpp"

namespace dunebridge::sim {
namespace {

std::string join(const std::vector<std::string>& lines) {
    std::string out;
    for (const auto& l : lines) out += l + "\n";
    return out;
}

void expect_good(World& world) {
    world.run();
    EXPECT_TRUE(world.broken_rules().empty()) << join(world.broken_rules());
    EXPECT_EQ(world.jobs_left(), 0u) << world.describe_left();
    EXPECT_GT(world.tasks_started(), 0u);
}

TEST(Simulation, QuietDay) {
    Options options;
    options.fault_every_s = 0;
    World world(options);
    expect_good(world);
    EXPECT_EQ(world.terms(), 1u);
}

// docs/incidents/0001: a new leader took machines it had not heard from yet for lost ones.
TEST(Simulation, LeaderChangeKeepsTheFleet) {
    Options options;
    options.fault_every_s = 0;
    World world(options);
    for (int i = 0; i < 3; ++i) {
        world.run_for(Millis(60000));
        world.crash_leader();
    }
    expect_good(world);
    EXPECT_EQ(world.terms(), 4u);
    EXPECT_EQ(world.returned_with_tasks(), 0u);
}

class Troubles : public testing::TestWithParam<std::uint64_t> {};

TEST_P(Troubles, RulesHoldAndJobsEnd) {
    Options options;
    options.seed = GetParam();
    World world(options);
    expect_good(world);
}
INSTANTIATE_TEST_SUITE_P(Seeds, Troubles, testing::Range<std::uint64_t>(1, 17));

class Overlapping : public testing::TestWithParam<std::uint64_t> {};

TEST_P(Overlapping, RulesHoldAndJobsEnd) {
    Options options;
    options.seed = GetParam();
    options.fault_every_s = 3;
    options.jobs = 40;
    World world(options);
    expect_good(world);
}
INSTANTIATE_TEST_SUITE_P(Seeds, Overlapping, testing::Range<std::uint64_t>(100, 116));

}  // namespace
}  // namespace dunebridge::sim
