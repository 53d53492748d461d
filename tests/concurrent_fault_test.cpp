// Concurrent faults: each combination that the operators named, with several seeds, and random
// ones. Invariants are checked after every step; in the end every job is in a terminal phase.
#include <gtest/gtest.h>

#include "sim/expectations.hpp"
#include "sim/named_scenario.hpp"
#include "sim/random_scenarios.hpp"
#include "sim/simulated_cluster.hpp"

namespace dunebridge::sim {
namespace {

using WorkerFault = FaultInjector::WorkerFault;

using Scenario = NamedScenario<SimulatedCluster&>;

Millis s(double seconds) { return from_seconds(seconds); }

const Scenario kScenarios[] = {
    {"CommandsDelayedWhileWorkersHang",
     [](SimulatedCluster& w) {
         w.faults().delay_commands(s(9));
         w.faults().inject_worker_fault(WorkerFault::hung, 60, s(8));
         w.run_for(s(1));
         w.faults().cancel_running(4);
         w.run_for(s(12));
     }},
    {"CancelledAsTheLeaderIsRefusedThenAnOutage",
     [](SimulatedCluster& w) {
         w.faults().refuse_leader(s(14));
         w.run_for(s(0.2));
         w.faults().cancel_running(6);
         w.run_for(s(1));
         w.faults().kv_store_outage(s(58));
         w.run_for(s(60));
     }},
    {"CancelledAtAControllerPartitionedFromItsPeers",
     [](SimulatedCluster& w) {
         w.faults().refuse_leader(s(14));
         w.faults().partition_controller((w.controllers().leader() + 1) % w.controllers().size(),
                                         {false, true, false}, LinkFault::drop, s(70));
         w.run_for(s(0.2));
         w.faults().cancel_running(6);
         w.run_for(s(1));
         w.faults().kv_store_outage(s(68));
         w.run_for(s(70));
     },
     [](ScenarioOptions& o) { o.task_s = 150; }},
    {"TenLeadersInTwoMinutesAlsoInAnOutage",
     [](SimulatedCluster& w) {
         for (int i = 0; i < 10; ++i) {
             w.faults().crash_leader(s(0.3 + 0.4 * i));
             if (i % 4 == 1) w.faults().kv_store_outage(s(9));
             w.faults().cancel_running(1);
             w.run_for(s(11));
         }
     }},
    {"MoreWorkThanCapacityOverSlowLinks",
     [](SimulatedCluster& w) {
         w.faults().slow_kv_store(s(40));
         w.faults().delay_commands(s(5));
         w.run_for(s(20));
         w.faults().cancel_running(4);
         w.faults().crash_leader(s(2));
         w.run_for(s(30));
     },
     [](ScenarioOptions& o) {
         o.jobs = 60;
         o.machines = 3;
     }},
    {"SlowThenTheLeaderRefusedThenAnOutage",
     [](SimulatedCluster& w) {
         w.faults().slow_kv_store(s(12));
         w.run_for(s(10));
         w.faults().refuse_leader(s(12));
         w.faults().cancel_running(3);
         w.run_for(s(3));
         w.faults().cancel_running(3);
         w.faults().kv_store_outage(s(50));
         w.run_for(s(60));
     }},
    {"TasksEndFarApartOverFailovers",
     [](SimulatedCluster& w) {
         for (int i = 0; i < 4; ++i) {
             w.faults().crash_leader(s(3));
             w.faults().delay_transactions(0.2, s(6));
             w.run_for(s(13));
         }
     },
     [](ScenarioOptions& o) { o.most_tasks = 3; }},
    {"AllControllersDownBeyondTheLease",
     [](SimulatedCluster& w) {
         w.faults().cancel_running(3);
         w.faults().crash_all(s(21));
         w.run_for(s(30));
     }},
    {"LeaderCrashesWhileMachinesAreUnreachable",
     [](SimulatedCluster& w) {
         w.faults().inject_worker_fault(WorkerFault::unreachable, 40, s(22));
         w.faults().inject_worker_fault(WorkerFault::inbound_lost, 40, s(25));
         w.run_for(s(1));
         w.faults().crash_leader(s(4));
         w.faults().cancel_running(3);
         w.run_for(s(35));
     },
     [](ScenarioOptions& o) { o.task_s = 60; }},
    {"TransactionsCarriedOutAfterNewerOnes",
     [](SimulatedCluster& w) {
         w.faults().delay_transactions(0.3, s(50));
         w.run_for(s(15));
         w.faults().cancel_running(4);
         w.faults().crash_leader(s(1));
         w.run_for(s(35));
     }},
    {"AZonePartitionedBeyondTheLeaseWithAController",
     [](SimulatedCluster& w) {
         w.faults().partition_zone("a", w.controllers().leader(), s(25));
         w.run_for(s(2));
         w.faults().cancel_running(5);
         w.run_for(s(28));
         w.faults().partition_zone("b", w.controllers().leader() + 1, s(25));
         w.faults().cancel_running(5);
         w.run_for(s(30));
     }},
    {"HeartbeatsArriveAfterANewLeaderHasActed",
     [](SimulatedCluster& w) {
         w.faults().inject_worker_fault(WorkerFault::delayed, 60, s(9));
         w.faults().duplicate_heartbeats(0.6, s(40));
         w.run_for(s(1));
         w.faults().crash_leader(s(2));
         w.run_for(s(40));
     }},
    {"JobsBoundToAZoneLoseMachines",
     [](SimulatedCluster& w) {
         for (int i = 0; i < 3; ++i) {
             w.faults().kill_machines(50);
             w.faults().partition_zone(i % 2 ? "a" : "b", 0, s(8));
             w.run_for(s(15));
         }
     }},
    {"FailoverAndBackThenAllCrashAndOneRestarts",
     [](SimulatedCluster& w) {
         for (int i = 0; i < 3; ++i) {
             w.faults().crash_leader(s(0.4));
             w.run_for(s(5));
             w.faults().crash_leader(s(0.2));
             w.run_for(s(4));
             w.faults().crash_all(s(6));
             w.faults().crash_controller(0, s(0.3));
             w.faults().cancel_running(1);
             w.run_for(s(8));
         }
     }},
    {"AnIsolatedLeaderKeepsItsWorkersAndUsers",
     [](SimulatedCluster& w) {
         w.faults().partition_controller(w.controllers().leader(), {true, true, false},
                                         LinkFault::delay, s(50));
         w.run_for(s(4));
         w.faults().cancel_running(8);
         w.run_for(s(50));
     },
     [](ScenarioOptions& o) { o.task_s = 100; }},
    {"HeartbeatsLost",
     [](SimulatedCluster& w) {
         w.faults().inject_worker_fault(WorkerFault::heartbeats_lost, 60, s(30));
         w.run_for(s(5));
         w.faults().cancel_running(4);
         w.faults().crash_leader(s(3));
         w.run_for(s(30));
     }},
    {"CancelledAskedAndSubmittedAsTheLastTaskEnds",
     [](SimulatedCluster& w) {
         w.faults().cancel_on_completion(0.7, s(90));
         w.faults().inject_invalid_requests(s(90));
         w.run_for(s(90));
     }},
    {"OldHeartbeatsOfEarlierEpochsAndAttempts",
     [](SimulatedCluster& w) {
         w.faults().duplicate_heartbeats(0.8, s(60));
         w.faults().inject_worker_fault(WorkerFault::unreachable, 50, s(18));
         w.run_for(s(20));
         w.faults().inject_worker_fault(WorkerFault::hung, 50, s(18));
         w.faults().delay_commands(s(6));
         w.run_for(s(40));
     }},
    {"ATeamAtItsQuotaOverAFailover",
     [](SimulatedCluster& w) {
         w.faults().inject_worker_fault(WorkerFault::delayed, 40, s(20));
         w.faults().crash_leader(s(3));
         w.run_for(s(0.5));
         w.faults().cancel_running(6);
         w.run_for(s(30));
     },
     [](ScenarioOptions& o) {
         o.jobs = 60;
         o.machines = 16;
         o.task_s = 20;
     }},
};

class ConcurrentFaults : public testing::TestWithParam<std::tuple<Scenario, std::uint64_t>> {};

TEST_P(ConcurrentFaults, InvariantsHoldAndJobsEnd) {
    const auto& [scenario, seed] = GetParam();
    ScenarioOptions options;
    options.seed = seed;
    options.fault_every_s = 0;
    options.faults_s = 150;
    options.drain_s = 2000;
    scenario.options(options);
    SimulatedCluster cluster(options);
    cluster.run_for(s(45));
    scenario.inject(cluster);
    cluster.run();
    expect_completed(cluster);
    // The leader hears of a cancellation before the user does, or does not reach the machines
    // either.
    EXPECT_EQ(cluster.statistics().starts_after_cancellation, 0u);
}
INSTANTIATE_TEST_SUITE_P(Named, ConcurrentFaults,
                         testing::Combine(testing::ValuesIn(kScenarios),
                                          testing::Range<std::uint64_t>(1, 4)),
                         name_with_seed<Scenario>);

// Two or three faults of all kinds at a time, so that combinations which nobody named occur too.
class RandomScenarios : public testing::TestWithParam<std::uint64_t> {};

TEST_P(RandomScenarios, InvariantsHoldAndJobsEnd) {
    SimulatedCluster cluster(random_scenario_options(GetParam()));
    run_random_scenario(cluster, GetParam());
    expect_completed(cluster);
}
INSTANTIATE_TEST_SUITE_P(Seeds, RandomScenarios, testing::Range<std::uint64_t>(7000, 7024));

// A cache of job states that evicts entries all the time: accepted jobs were called unknown when an
// entry was evicted while a poll was in flight.
class SmallJobCaches : public testing::TestWithParam<std::uint64_t> {};

TEST_P(SmallJobCaches, InvariantsHoldAndJobsEnd) {
    auto options = random_scenario_options(GetParam());
    options.pipelines = 8;
    options.job_cache = {.max_jobs = 8, .max_ancestors = 30};
    SimulatedCluster cluster(options);
    run_random_scenario(cluster, GetParam());
    expect_completed(cluster);
}
INSTANTIATE_TEST_SUITE_P(Seeds, SmallJobCaches, testing::Range<std::uint64_t>(7100, 7106));

}  // namespace
}  // namespace dunebridge::sim
