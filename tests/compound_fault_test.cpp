// Slow or missing boots, crashed or stalled controllers, poll storms, teams without a quota and
// jobs that fail everywhere: each alone, combined with other faults, and random. Invariants are
// checked after every step; in the end every job is in a terminal phase.
#include <gtest/gtest.h>

#include "sim/expectations.hpp"
#include "sim/large_fleet_scenario.hpp"
#include "sim/named_scenario.hpp"
#include "sim/random_scenarios.hpp"
#include "sim/simulated_cluster.hpp"

namespace dunebridge::sim {
namespace {

using WorkerFault = FaultInjector::WorkerFault;

Millis s(double seconds) { return from_seconds(seconds); }

using Scenario = NamedScenario<SimulatedCluster&>;

void restart_in_turn(SimulatedCluster& cluster) {
    for (std::size_t node = 0; node < cluster.controllers().size(); ++node) {
        cluster.faults().crash_controller(node, s(4));
        cluster.run_for(s(12));
    }
}

const Scenario kScenarios[] = {
    {"SlowBootsEverywhere",
     [](SimulatedCluster& w) {
         w.faults().inject_boot_fault(5, 0.2, s(90));
         w.faults().kill_machines(60);
         w.run_for(s(100));
     }},
    {"NoBootsInOneZoneWhileTheOtherIsPartitioned",
     [](SimulatedCluster& w) {
         w.faults().inject_boot_fault(1, 1, s(90), "a");
         w.faults().partition_zone("b", w.controllers().leader(), s(30));
         w.faults().kill_machines(40);
         w.run_for(s(100));
     }},
    {"SlowBootsOverAFailover",
     [](SimulatedCluster& w) {
         w.faults().inject_boot_fault(6, 0.3, s(60));
         w.faults().kill_machines(50);
         w.run_for(s(10));
         w.faults().crash_leader(s(4));
         w.run_for(s(60));
     }},
    {"AllCrashedForOverAMinute",
     [](SimulatedCluster& w) {
         w.faults().cancel_running(3);
         w.faults().crash_all(s(80));
         w.run_for(s(90));
     }},
    {"AllStalledForOverAMinute",
     [](SimulatedCluster& w) {
         w.faults().cancel_running(3);
         w.run_for(s(0.1));
         w.faults().stall_all_processes(s(70));
         w.run_for(s(80));
     }},
    {"AllCrashedWithAnOutageBeyondTheCancellationDeadline",
     [](SimulatedCluster& w) {
         w.faults().kv_store_outage(s(60));
         w.faults().cancel_running(4);
         w.run_for(s(5));
         w.faults().crash_all(s(62));
         w.run_for(s(70));
     }},
    {"OneCrashedForOverAMinuteThenAnother",
     [](SimulatedCluster& w) {
         const auto first = w.controllers().leader();
         w.faults().crash_controller(first, s(90));
         w.run_for(s(80));
         w.faults().crash_leader(s(70));
         w.faults().cancel_running(3);
         w.run_for(s(80));
     }},
    {"ALeaderStallsInAnElectionALoadAndATransaction",
     [](SimulatedCluster& w) {
         for (int i = 0; i < 6; ++i) {
             w.faults().crash_leader(s(0.2));
             // While the others elect, while the new leader loads, and while it commits.
             w.run_for(Millis(i % 3 == 0 ? 900 : i % 3 == 1 ? 3300 : 5000));
             const auto leader = w.controllers().leader();
             w.faults().stall_process(leader < w.controllers().size() ? leader : 1, s(1 + 6 * i));
             w.faults().cancel_running(1);
             w.run_for(s(9));
         }
     }},
    {"AStalledLeaderAndDelayedCommands",
     [](SimulatedCluster& w) {
         w.faults().delay_commands(s(9));
         w.run_for(s(1));
         w.faults().stall_process(w.controllers().leader(), s(18));
         w.run_for(s(2));
         w.faults().cancel_running(5);
         w.run_for(s(30));
     }},
    {"AStalledLeaderAndDelayedTransactions",
     [](SimulatedCluster& w) {
         w.faults().delay_transactions(0.3, s(30));
         w.run_for(s(5));
         w.faults().stall_process(w.controllers().leader(), s(7));
         w.run_for(s(2));
         w.faults().cancel_running(4);
         w.run_for(s(40));
     }},
    {"AStalledLeaderWhileOthersConfirmCancellations",
     [](SimulatedCluster& w) {
         w.faults().stall_process(w.controllers().leader(), s(2.5));
         w.run_for(s(0.2));
         w.faults().cancel_running(6);
         w.run_for(s(10));
         w.faults().stall_process(w.controllers().leader(), s(50));
         w.run_for(s(0.2));
         w.faults().cancel_running(6);
         w.run_for(s(60));
     },
     [](ScenarioOptions& o) { o.task_s = 120; }},
    {"APollStormAndARollingRestart",
     [](SimulatedCluster& w) {
         w.faults().poll_storm(8, s(50));
         restart_in_turn(w);
         w.faults().cancel_running(4);
         w.run_for(s(20));
     }},
    {"GuestsWhileTheKeyValueStoreIsSlowAndTransactionsLate",
     [](SimulatedCluster& w) {
         w.run_for(s(10));
         w.faults().slow_kv_store(s(40));
         w.faults().delay_transactions(0.1, s(40));
         w.run_for(s(30));
         w.faults().crash_leader(s(4));
         w.run_for(s(30));
     },
     [](ScenarioOptions& o) { o.guest_team = true; }},
    {"GuestsDuringAZonePartition",
     [](SimulatedCluster& w) {
         w.run_for(s(15));
         w.faults().partition_zone("a", w.controllers().leader(), s(30));
         w.faults().kill_machines(30);
         w.run_for(s(50));
     },
     [](ScenarioOptions& o) { o.guest_team = true; }},
    {"FaultyJobsWhileATeamIsAtItsQuotaAndWorkersHang",
     [](SimulatedCluster& w) {
         w.faults().inject_worker_fault(WorkerFault::hung, 40, s(12));
         w.run_for(s(5));
         w.faults().cancel_running(4);
         w.faults().crash_leader(s(3));
         w.run_for(s(40));
     },
     [](ScenarioOptions& o) {
         o.failing_jobs_percent = 30;
         o.jobs = 50;
     }},
};

ScenarioOptions compound_options(std::uint64_t seed) {
    ScenarioOptions options;
    options.seed = seed;
    options.fault_every_s = 0;
    options.faults_s = 160;
    options.drain_s = 2500;
    return options;
}

class CompoundFaults : public testing::TestWithParam<std::tuple<Scenario, std::uint64_t>> {};

TEST_P(CompoundFaults, InvariantsHoldAndJobsEnd) {
    const auto& [scenario, seed] = GetParam();
    auto options = compound_options(seed);
    scenario.options(options);
    SimulatedCluster cluster(options);
    cluster.run_for(s(45));
    scenario.inject(cluster);
    cluster.run();
    expect_completed(cluster);
    EXPECT_EQ(cluster.statistics().starts_long_after_cancellation, 0u);
}
INSTANTIATE_TEST_SUITE_P(Named, CompoundFaults,
                         testing::Combine(testing::ValuesIn(kScenarios),
                                          testing::Range<std::uint64_t>(1, 4)),
                         name_with_seed<Scenario>);

// A rolling upgrade from the version in production during each scenario.
class CompoundFaultsDuringRollout : public testing::TestWithParam<Scenario> {};

TEST_P(CompoundFaultsDuringRollout, InvariantsHoldAndJobsEnd) {
    auto options = compound_options(9);
    options.old_format = config::kChunkFormat;
    GetParam().options(options);
    SimulatedCluster cluster(options);
    cluster.run_for(s(40));
    cluster.faults().upgrade(0, s(3));
    cluster.run_for(s(5));
    GetParam().inject(cluster);
    for (std::size_t node = 1; node < cluster.controllers().size(); ++node) {
        cluster.faults().upgrade(node, s(3));
        cluster.run_for(s(8));
    }
    cluster.run();
    expect_completed(cluster);
    EXPECT_EQ(cluster.record_format(), config::kNewestFormat);
}
INSTANTIATE_TEST_SUITE_P(Named, CompoundFaultsDuringRollout, testing::ValuesIn(kScenarios),
                         [](const auto& p) { return std::string(p.param.name); });

// Hundreds of small jobs polled by the thousand: users' reads stay within their share of the
// key-value store's rate limit, so that two failovers cost two terms.
TEST(PollStorm, LeavesTheLeaderItsShareOfTheRateLimit) {
    auto options = compound_options(3);
    options.jobs = 400;
    options.most_tasks = 1;
    options.machines = 40;
    SimulatedCluster cluster(options);
    cluster.run_for(s(110));
    cluster.faults().poll_storm(8, s(70));
    for (int i = 0; i < 2; ++i) {
        cluster.run_for(s(15));
        cluster.faults().crash_leader(s(4));
    }
    cluster.run_for(s(40));
    EXPECT_EQ(cluster.statistics().terms, 3u);
    EXPECT_LT(cluster.kv_store().refusals() * 100, cluster.kv_store().requests());
    cluster.run();
    expect_completed(cluster);
}

// A fleet of hundreds in CI; the same scenario at any size is `fleet MACHINES` (CONTRIBUTING.md).
TEST(LargeFleet, KeepsItsTasksOverAFailoverAndACrashOfAllControllers) {
    SimulatedCluster cluster(large_fleet_options(400));
    const auto result = run_large_fleet_scenario(cluster);
    expect_completed(cluster);
    EXPECT_GT(result.most_up, 300u);
    EXPECT_EQ(result.killed_by_lease, 0u);
    EXPECT_EQ(cluster.kv_store().violations(), 0u);
    EXPECT_LE(cluster.kv_store().most_changes_in_a_second(), 140);
}

// Failing jobs neither cost healthy machines nor cause new ones to be rented by the dozen.
TEST(FaultyJobs, CostNoMachines) {
    auto options = compound_options(5);
    options.jobs = 40;
    options.machines = 30;
    options.failing_jobs_percent = 25;
    SimulatedCluster cluster(options);
    cluster.run();
    expect_completed(cluster);
    EXPECT_EQ(cluster.statistics().scaled_in_with_tasks, 0u);
    auto without = options;
    without.failing_jobs_percent = 0;
    SimulatedCluster healthy(without);
    healthy.run();
    EXPECT_LT(cluster.cloud().rented(), healthy.cloud().rented() * 2);
}

// These faults and all others, drawn by a seed.
class RandomCompoundFaults : public testing::TestWithParam<std::uint64_t> {};

TEST_P(RandomCompoundFaults, InvariantsHoldAndJobsEnd) {
    const auto seed = GetParam();
    SimulatedCluster cluster(random_compound_options(seed));
    run_random_compound_scenario(cluster);
    expect_completed(cluster);
}
INSTANTIATE_TEST_SUITE_P(Seeds, RandomCompoundFaults, testing::Range<std::uint64_t>(9000, 9024));

}  // namespace
}  // namespace dunebridge::sim
