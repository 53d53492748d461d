// Old and new versions side by side, and a state service that lowers its limits without notice.
#include <gtest/gtest.h>

#include "sim/script.hpp"
#include "sim/world.hpp"

namespace dunebridge::sim {
namespace {

Millis s(double seconds) { return from_seconds(seconds); }

std::string all(const World& w) {
    std::string out;
    for (const auto& line : w.broken_rules()) out += line + "\n";
    return out;
}

Options large_jobs(std::uint64_t seed) {
    Options o;
    o.seed = seed;
    o.fault_every_s = 0;
    o.troubles_s = 200;
    o.finish_s = 1500;
    o.jobs = 40;
    o.machines = 60;
    o.most_shards = 300;
    o.old_version = true;
    o.pipelines = 10;
    o.pipelines_after_s = 110;
    o.limits = state::Limits({200, 80, 16, 48}, state::Limits::Set{200, 56, 2, 16});
    return o;
}

void expect_good(World& world) {
    world.run();
    EXPECT_TRUE(world.broken_rules().empty()) << all(world);
    EXPECT_EQ(world.jobs_left(), 0u) << world.describe_left();
    EXPECT_GT(world.tasks_started(), 1000u);
}

class Upgrade : public testing::TestWithParam<std::uint64_t> {};

// Processes are replaced one after the other while leaders come and go and jobs are cancelled; the
// format changes once all have shown the new version, and then the limits fall.
TEST_P(Upgrade, BothVersionsServeAndTheLimitsFall) {
    World world(large_jobs(GetParam()));
    world.run_for(s(50));
    for (std::size_t i = 0; i < world.nodes(); ++i) {
        world.upgrade((i + GetParam()) % world.nodes(), s(3));
        world.run_for(s(4));
        world.crash_leader(s(1));
        world.cancel_running(1);
        world.run_for(s(6));
        if (i + 1 < world.nodes()) {
            EXPECT_FALSE(world.new_format());
        }
    }
    world.run_for(s(10));
    EXPECT_TRUE(world.new_format());
    world.lower_limits();
    world.run_for(s(20));
    world.crash_leader(s(2));
    world.late_writes(0.2, s(20));
    expect_good(world);
    // All values and transactions were within the smaller limits by then.
    EXPECT_EQ(world.state().violations(), 0u);
}
INSTANTIATE_TEST_SUITE_P(Seeds, Upgrade, testing::Range<std::uint64_t>(1, 5));

// One controller stays away, so that the older format stays in force when the limits fall: the
// ledger goes on working, with what fits.
TEST(LimitsBeforeTheSwitch, TheLedgerGoesOnWorking) {
    World world(large_jobs(9));
    world.run_for(s(40));
    world.upgrade(1, s(2));
    world.upgrade(2, s(2));
    world.crash_node(0, s(70));
    world.run_for(s(30));
    EXPECT_FALSE(world.new_format());
    world.lower_limits();
    world.run_for(s(25));
    const auto started = world.tasks_started();
    world.run_for(s(15));
    EXPECT_GT(world.tasks_started(), started);
    EXPECT_FALSE(world.new_format());
    world.upgrade(0, s(2));
    expect_good(world);
    EXPECT_TRUE(world.new_format());
}

}  // namespace
}  // namespace dunebridge::sim
