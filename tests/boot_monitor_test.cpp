// Machines that come up late or never are replaced within bounds, and places that do not deliver
// are left alone for a while.
#include "provisioning/boot_monitor.hpp"

#include <gtest/gtest.h>

#include "sim/cluster_state_fixture.hpp"

namespace dunebridge::provisioning {
namespace {

constexpr double kNominal_s = 60;  // of a type that is not known

struct BootMonitorTest : testing::Test {
    sim::ClusterStateFixture world;
    state::MachineTypeCatalog types;
    BootMonitor monitor{world.context, world.cluster_state, types};
    int machines = 0;

    state::Machine& rent(const std::string& zone = "a") {
        auto& machine = world.add_machine(++machines, zone);
        machine.instance.boot_tracked = true;
        return machine;
    }
    void come_up(state::Machine& machine) {
        machine.worker.heartbeat_received = true;
        machine.instance.starting = false;
        monitor.update();
    }
    std::size_t replaced() {
        std::size_t count = 0;
        for (const auto& [host, machine] : world.cluster_state.machines()) {
            count += monitor.to_replace(machine) ? 1 : 0;
        }
        return count;
    }
    void pass(double seconds) {
        world.advance(from_seconds(seconds));
        monitor.update();
    }
};

TEST_F(BootMonitorTest, AMachineIsOverdueAfterTwiceTheNominalTimeAtFirst) {
    auto& machine = rent();
    pass(1.9 * kNominal_s);
    EXPECT_FALSE(monitor.to_replace(machine));
    EXPECT_TRUE(monitor.allowances().empty());
    pass(0.2 * kNominal_s);
    EXPECT_TRUE(monitor.to_replace(machine));
}

TEST_F(BootMonitorTest, TheLimitFollowsWhatIsObserved) {
    BootTimeEstimate slow;
    BootTimeEstimate quick;
    for (int n = 0; n < 60; ++n) {
        slow.observe(4 * kNominal_s, kNominal_s);
        quick.observe(2, kNominal_s);
    }
    EXPECT_GT(slow.limit_s(kNominal_s), 3.9 * kNominal_s);
    // After a run of quick ones the usual time is still no failure.
    EXPECT_DOUBLE_EQ(quick.limit_s(kNominal_s), 1.5 * kNominal_s);
}

TEST_F(BootMonitorTest, ACloudThatIsSlowEverywhereStartsNoStormOfRentals) {
    for (int n = 0; n < 100; ++n) rent(n % 2 ? "a" : "b");
    pass(2.1 * kNominal_s);
    EXPECT_EQ(replaced(), 20u);
}

TEST_F(BootMonitorTest, APlaceThatDeliversNothingIsAskedLess) {
    rent("a");
    auto& other = rent("b");
    pass(kNominal_s);
    come_up(other);
    pass(1.1 * kNominal_s);
    const InstancePool failing{"big", "a", true};
    auto allowances = monitor.allowances();
    ASSERT_TRUE(allowances.contains(failing));
    EXPECT_EQ(allowances.at(failing), 0u);
    EXPECT_FALSE(allowances.contains({"big", "b", true}));
    pass(31);
    // A probe, and not more until it has come.
    EXPECT_EQ(monitor.allowances().at(failing), 2u);
    rent("a");
    auto& probe = rent("a");
    monitor.update();
    EXPECT_EQ(monitor.allowances().at(failing), 0u);
    pass(kNominal_s);
    come_up(probe);
    EXPECT_TRUE(monitor.allowances().empty());
}

TEST_F(BootMonitorTest, ThePauseDoublesWhileNothingComes) {
    rent();
    pass(2.1 * kNominal_s);
    pass(31);
    rent();
    pass(2.1 * kNominal_s);
    pass(50);
    EXPECT_EQ(monitor.allowances().at({"big", "a", true}), 0u);
    pass(11);
    EXPECT_EQ(monitor.allowances().at({"big", "a", true}), 2u);
}

TEST_F(BootMonitorTest, ALateMachineCountsAgainWhenItComes) {
    auto& machine = rent();
    pass(3 * kNominal_s);
    ASSERT_TRUE(monitor.to_replace(machine));
    come_up(machine);
    EXPECT_FALSE(monitor.to_replace(machine));
    EXPECT_TRUE(monitor.allowances().empty());
}

// What an earlier leader rented is judged by when it was rented, and says nothing of boot times.
TEST_F(BootMonitorTest, MachinesOfAnEarlierLeaderAreJudgedToo) {
    auto& machine = world.add_machine(1);
    machine.instance.provisioned_at = world.now - from_seconds(3 * kNominal_s);
    monitor.update();
    EXPECT_TRUE(monitor.to_replace(machine));
    come_up(machine);
    EXPECT_FALSE(monitor.to_replace(machine));
}

TEST_F(BootMonitorTest, AMachineIsGivenUpLaterWhereNothingElseComesEither) {
    auto& late = rent("a");
    auto& other = rent("a");
    const auto alone = monitor.release_after(late);
    EXPECT_GT(alone, from_seconds(6 * kNominal_s));
    pass(kNominal_s);
    come_up(other);
    EXPECT_LT(monitor.release_after(late), from_seconds(4 * kNominal_s));
}

}  // namespace
}  // namespace dunebridge::provisioning
