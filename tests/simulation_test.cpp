// Seeded random scenarios: three controllers in a simulated cluster, with the invariants checked
// after every step, and every job in a terminal phase some time after the last fault.
#include <gtest/gtest.h>

#include "sim/expectations.hpp"
#include "sim/simulated_cluster.hpp"

namespace dunebridge::sim {
namespace {

void run_and_expect_completed(SimulatedCluster& cluster) {
    cluster.run();
    expect_completed(cluster);
}

TEST(Simulation, QuietDay) {
    ScenarioOptions options;
    options.fault_every_s = 0;
    SimulatedCluster cluster(options);
    run_and_expect_completed(cluster);
    EXPECT_EQ(cluster.statistics().terms, 1u);
}

// docs/incidents/0001: a new leader took machines it had not heard from yet for lost ones.
TEST(Simulation, LeaderChangeKeepsTheFleet) {
    ScenarioOptions options;
    options.fault_every_s = 0;
    SimulatedCluster cluster(options);
    for (int i = 0; i < 3; ++i) {
        cluster.run_for(Millis(60000));
        cluster.faults().crash_leader();
    }
    run_and_expect_completed(cluster);
    EXPECT_EQ(cluster.statistics().terms, 4u);
    EXPECT_EQ(cluster.statistics().scaled_in_with_tasks, 0u);
}

// A leader that loses the key-value store and its peers, but not its workers, must release them:
// they find the new leader before their leases expire, and late messages of the old one have no
// effect.
TEST(Simulation, IsolatedLeaderReleasesItsWorkers) {
    ScenarioOptions options;
    options.fault_every_s = 0;
    options.faults_s = 40;
    options.task_s = 150;  // nothing to commit, which would show the leader its loss
    SimulatedCluster cluster(options);
    cluster.run_for(Millis(100000));
    const auto old = cluster.controllers().leader();
    cluster.faults().isolate_leader(Millis(60000));
    cluster.run_for(Millis(14000));  // less than a lease
    EXPECT_FALSE(cluster.controllers().leads(old));
    EXPECT_NE(cluster.controllers().leader(), old);
    cluster.run_for(Millis(36000));
    EXPECT_EQ(cluster.killed_by_lease(), 0u);
    cluster.run_for(Millis(60000));
    EXPECT_TRUE(cluster.violated_invariants().empty()) << cluster.describe_violations();
    EXPECT_EQ(cluster.statistics().terms, 2u);
}

// A leader that is back within a fraction of a second, also while another is being elected.
TEST(Simulation, QuickRestartsKeepTheInvariants) {
    ScenarioOptions options;
    options.fault_every_s = 0;
    SimulatedCluster cluster(options);
    cluster.run_for(Millis(40000));
    for (int i = 0; i < 12; ++i) {
        cluster.faults().crash_leader(Millis(60 + 40 * i));
        cluster.run_for(Millis(1700 + 300 * i));
    }
    run_and_expect_completed(cluster);
    EXPECT_EQ(cluster.statistics().scaled_in_with_tasks, 0u);
}

// The key-value store refuses the leader alone, others confirm cancellations, and then it is down
// for all for longer than `cancel_s`: meanwhile the leader's workers go on sending it heartbeats.
TEST(Simulation, CancellationsThatTheLeaderCannotReadAreKept) {
    ScenarioOptions options;
    options.fault_every_s = 0;
    options.task_s = 150;
    options.faults_s = 200;
    SimulatedCluster cluster(options);
    for (int round = 0; round < 2; ++round) {
        cluster.run_for(Millis(60000));
        const auto record_response = cluster.users().cancellations_seen();
        cluster.faults().refuse_leader(Millis(14000));
        cluster.run_for(Millis(300));
        cluster.faults().cancel_running(6);
        cluster.run_for(Millis(1700));
        cluster.faults().kv_store_outage(Millis(60000));
        cluster.run_for(Millis(62000));
        ASSERT_TRUE(cluster.violated_invariants().empty()) << cluster.describe_violations();
        EXPECT_GT(cluster.users().cancellations_seen(), record_response);
    }
    // Peers vouch for the cancellations they confirmed: the outage costs no running task.
    EXPECT_EQ(cluster.killed_by_lease(), 0u);
}

// A large job of lower priority begins within four minutes although small urgent ones would take
// every core all the time: waiting work ages.
TEST(Simulation, LargeJobStartsUnderAFlowOfUrgentOnes) {
    ScenarioOptions options;
    options.fault_every_s = 0;
    options.urgent_flow = true;
    options.faults_s = 300;
    options.machines = 2;
    SimulatedCluster cluster(options);
    cluster.run_for(Millis(300000));
    ASSERT_TRUE(cluster.violated_invariants().empty()) << cluster.describe_violations();
    ASSERT_TRUE(cluster.users().largest_job_wait_s().has_value());
    EXPECT_LT(*cluster.users().largest_job_wait_s(), 240);
}

// Ten times the fleet and the jobs: the key-value store's limits are enforced by the stand-in, and
// the changes sent to it must not grow with tasks or machines.
TEST(Simulation, TenTimesTheSize) {
    ScenarioOptions options;
    options.seed = 7;
    options.fault_every_s = 25;
    options.jobs = 240;
    options.machines = 90;
    options.most_tasks = 60;
    SimulatedCluster cluster(options);
    run_and_expect_completed(cluster);
    EXPECT_GT(cluster.statistics().tasks_started, 4000u);
    EXPECT_EQ(cluster.kv_store().violations(), 0u);
    EXPECT_LE(cluster.kv_store().most_changes_in_a_second(), 160);  // a burst and a second's worth
    EXPECT_LT(static_cast<double>(cluster.kv_store().changes()) / cluster.elapsed_s(), 20);
}

// About the size of the largest fleet times 1.5, with the limits of the key-value store and the
// cloud enforced, leader changes, and a third of the machines dying at once.
TEST(Simulation, FleetOfTwoThousand) {
    ScenarioOptions options;
    options.seed = 11;
    options.large_fleet = true;
    options.severe_faults = true;
    options.fault_every_s = 30;
    options.faults_s = 120;
    options.jobs = 520;
    options.machines = 2070;
    options.most_tasks = 250;
    SimulatedCluster cluster(options);
    std::size_t most_up = 0;
    for (int i = 0; i < 20; ++i) {
        cluster.run_for(Millis(5000));
        most_up = std::max(most_up, cluster.machines_up());
    }
    cluster.faults().crash_leader();
    cluster.run();
    EXPECT_TRUE(cluster.violated_invariants().empty()) << cluster.describe_violations();
    EXPECT_GT(most_up, 1000u);
    EXPECT_GT(cluster.statistics().terms, 1u);
    EXPECT_GE(cluster.users().least_served(), 0.5) << cluster.users().describe_unfinished();
    EXPECT_EQ(cluster.kv_store().violations(), 0u);
    // A burst and a second's worth, whoever leads.
    EXPECT_LE(cluster.kv_store().most_changes_in_a_second(), 140);
    EXPECT_LT(static_cast<double>(cluster.kv_store().changes()) / cluster.elapsed_s(), 60);
    EXPECT_LE(cluster.cloud().refusals(), 20u);
}

class WorkerFaults : public testing::TestWithParam<std::uint64_t> {};

TEST_P(WorkerFaults, InvariantsHoldAndJobsEnd) {
    ScenarioOptions options;
    options.seed = GetParam();
    SimulatedCluster cluster(options);
    run_and_expect_completed(cluster);
}
INSTANTIATE_TEST_SUITE_P(Seeds, WorkerFaults, testing::Range<std::uint64_t>(1, 17));

class OverlappingFaults : public testing::TestWithParam<std::uint64_t> {};

TEST_P(OverlappingFaults, InvariantsHoldAndJobsEnd) {
    ScenarioOptions options;
    options.seed = GetParam();
    options.fault_every_s = 3;
    options.jobs = 40;
    SimulatedCluster cluster(options);
    run_and_expect_completed(cluster);
}
INSTANTIATE_TEST_SUITE_P(Seeds, OverlappingFaults, testing::Range<std::uint64_t>(100, 116));

// More jobs than the fleet can run, faults every two to eight seconds. These seeds once violated
// invariants: a start taken for unsent although its task ran (1004, 1216, 1511, 1607), a new leader
// that started what its predecessor had placed although the capacity and quota had been given to
// others (1036, 1421), and a lease expiry taken for the end of an agent epoch that began later
// (3222).
class Crowded : public testing::TestWithParam<std::uint64_t> {};

TEST_P(Crowded, InvariantsHold) {
    ScenarioOptions options;
    options.seed = GetParam();
    options.fault_every_s = options.seed % 3 == 0 ? 2 : options.seed % 3 == 1 ? 4 : 8;
    options.jobs = 30 + static_cast<int>(options.seed % 40);
    options.machines = 4 + options.seed % 12;
    options.most_tasks = options.seed % 4 == 0 ? 30 : 10;
    SimulatedCluster cluster(options);
    cluster.run();
    EXPECT_TRUE(cluster.violated_invariants().empty()) << cluster.describe_violations();
    EXPECT_GT(cluster.statistics().tasks_started, 0u);
}
INSTANTIATE_TEST_SUITE_P(Seeds, Crowded, testing::Values(1004, 1036, 1216, 1421, 1511, 1607, 3222));

// The faults of larger fleets, in addition to the others.
class SevereFaults : public testing::TestWithParam<std::uint64_t> {};

TEST_P(SevereFaults, InvariantsHold) {
    ScenarioOptions options;
    options.severe_faults = true;
    options.seed = GetParam();
    options.fault_every_s = options.seed % 3 == 0 ? 3 : options.seed % 3 == 1 ? 6 : 12;
    options.jobs = 30 + static_cast<int>(options.seed % 40);
    options.machines = 4 + options.seed % 12;
    SimulatedCluster cluster(options);
    cluster.run();
    EXPECT_TRUE(cluster.violated_invariants().empty()) << cluster.describe_violations();
    EXPECT_GT(cluster.statistics().tasks_started, 0u);
}
INSTANTIATE_TEST_SUITE_P(Seeds, SevereFaults, testing::Range<std::uint64_t>(5000, 5024));

}  // namespace
}  // namespace dunebridge::sim
