// Machines that come up late or never are replaced within bounds, and unhealthy pools are backed
// off from.
#include "provisioning/boot_monitor.hpp"

#include <gtest/gtest.h>

#include "sim/cluster_state_fixture.hpp"

namespace dunebridge::provisioning {
namespace {

// The nominal boot time of a type that is not known.
constexpr Seconds kNominal{60};

struct BootMonitorTest : testing::Test {
    sim::ClusterStateFixture cluster;
    state::MachineTypeCatalog machine_types;
    BootMonitor monitor{cluster.context, cluster.cluster_state, machine_types};
    int machines_requested = 0;

    state::Machine& request_machine(const std::string& zone = "a") {
        auto& machine = cluster.add_machine(++machines_requested, zone);
        machine.instance.boot_tracked = true;
        return machine;
    }
    void come_up(state::Machine& machine) {
        machine.worker.heartbeat_received = true;
        machine.instance.starting = false;
        monitor.update();
    }
    std::size_t count_replaceable() {
        std::size_t count = 0;
        for (const auto& [host, machine] : cluster.cluster_state.machines()) {
            count += monitor.replacement_allowed(machine) ? 1 : 0;
        }
        return count;
    }
    void pass(Seconds span) {
        cluster.advance(from_seconds(span.count()));
        monitor.update();
    }
};

TEST_F(BootMonitorTest, MachineIsOverdueAfterTwiceTheNominalTimeAtFirst) {
    auto& machine = request_machine();
    pass(1.9 * kNominal);
    EXPECT_FALSE(monitor.replacement_allowed(machine));
    EXPECT_TRUE(monitor.unhealthy_pool_limits().empty());
    pass(0.2 * kNominal);
    EXPECT_TRUE(monitor.replacement_allowed(machine));
}

TEST_F(BootMonitorTest, LimitFollowsObservedBootTimes) {
    BootTimeEstimate slow;
    BootTimeEstimate quick;
    for (int n = 0; n < 60; ++n) {
        slow.observe(4 * kNominal, kNominal);
        quick.observe(Seconds(2), kNominal);
    }
    EXPECT_GT(slow.limit(kNominal), 3.9 * kNominal);
    // After a run of quick boots an ordinary one is still not overdue.
    EXPECT_DOUBLE_EQ(quick.limit(kNominal).count(), (1.5 * kNominal).count());
}

TEST_F(BootMonitorTest, SlowCloudCausesNoRequestStorm) {
    for (int n = 0; n < 100; ++n) request_machine(n % 2 ? "a" : "b");
    pass(2.1 * kNominal);
    EXPECT_EQ(count_replaceable(), 20u);
}

TEST_F(BootMonitorTest, UnhealthyPoolIsLimitedToProbes) {
    request_machine("a");
    auto& other = request_machine("b");
    pass(kNominal);
    come_up(other);
    pass(1.1 * kNominal);
    const InstancePool failing{"big", "a", true};
    auto unhealthy_pool_limits = monitor.unhealthy_pool_limits();
    ASSERT_TRUE(unhealthy_pool_limits.contains(failing));
    EXPECT_EQ(unhealthy_pool_limits.at(failing), 0u);
    EXPECT_FALSE(unhealthy_pool_limits.contains({"big", "b", true}));
    pass(Seconds(31));
    // A few probes, and no more until one has come up.
    EXPECT_EQ(monitor.unhealthy_pool_limits().at(failing), 2u);
    request_machine("a");
    auto& probe = request_machine("a");
    monitor.update();
    EXPECT_EQ(monitor.unhealthy_pool_limits().at(failing), 0u);
    pass(kNominal);
    come_up(probe);
    EXPECT_TRUE(monitor.unhealthy_pool_limits().empty());
}

TEST_F(BootMonitorTest, BackoffDoublesWhileNothingComesUp) {
    request_machine();
    pass(2.1 * kNominal);
    pass(Seconds(31));
    request_machine();
    pass(2.1 * kNominal);
    pass(Seconds(50));
    EXPECT_EQ(monitor.unhealthy_pool_limits().at({"big", "a", true}), 0u);
    pass(Seconds(11));
    EXPECT_EQ(monitor.unhealthy_pool_limits().at({"big", "a", true}), 2u);
}

TEST_F(BootMonitorTest, LateMachineCountsAgainOnceItIsUp) {
    auto& machine = request_machine();
    pass(3 * kNominal);
    ASSERT_TRUE(monitor.replacement_allowed(machine));
    come_up(machine);
    EXPECT_FALSE(monitor.replacement_allowed(machine));
    EXPECT_TRUE(monitor.unhealthy_pool_limits().empty());
}

// Machines that an earlier leader requested are judged by the time of their request; they are not
// used to learn boot times.
TEST_F(BootMonitorTest, MachinesOfAnEarlierLeaderAreJudgedToo) {
    auto& machine = cluster.add_machine(1);
    machine.instance.provisioned_at = cluster.now - from_seconds((3 * kNominal).count());
    monitor.update();
    EXPECT_TRUE(monitor.replacement_allowed(machine));
    come_up(machine);
    EXPECT_FALSE(monitor.replacement_allowed(machine));
}

TEST_F(BootMonitorTest, BootTimeoutIsLongerWhereNothingElseComesUp) {
    auto& late = request_machine("a");
    auto& other = request_machine("a");
    const auto alone = monitor.boot_timeout(late);
    EXPECT_GT(alone, from_seconds((6 * kNominal).count()));
    pass(kNominal);
    come_up(other);
    EXPECT_LT(monitor.boot_timeout(late), from_seconds((4 * kNominal).count()));
}

}  // namespace
}  // namespace dunebridge::provisioning
