// Two troubles at once: each meeting that the operators named, brought about with several seeds,
// and meetings drawn by chance. The rules are checked after every step; in the end every job is
// over.
#include <gtest/gtest.h>

#include <ostream>

#include "sim/expectations.hpp"
#include "sim/random_scenarios.hpp"
#include "sim/simulated_cluster.hpp"

namespace dunebridge::sim {
namespace {

using WorkerFault = SimulatedCluster::WorkerFault;

struct Meeting {
    const char* name;
    void (*bring_about)(SimulatedCluster&);
    void (*options)(ScenarioOptions&) = [](ScenarioOptions&) {};
};

void PrintTo(const Meeting& meeting, std::ostream* out) { *out << meeting.name; }

Millis s(double seconds) { return from_seconds(seconds); }

const Meeting kMeetings[] = {
    {"CommandsHeldAndTheMachineGoesOn",
     [](SimulatedCluster& w) {
         w.delay_commands(s(9));
         w.inject_worker_fault(WorkerFault::hung, 60, s(8));
         w.run_for(s(1));
         w.cancel_running(4);
         w.run_for(s(12));
     }},
    {"CancelledAsTheLeaderIsRefusedThenAnOutage",
     [](SimulatedCluster& w) {
         w.refuse_leader(s(14));
         w.run_for(s(0.2));
         w.cancel_running(6);
         w.run_for(s(1));
         w.kv_store_outage(s(58));
         w.run_for(s(60));
     }},
    {"CancelledAtANodeThatNoPeerHears",
     [](SimulatedCluster& w) {
         w.refuse_leader(s(14));
         w.cut_node((w.leader() + 1) % w.nodes(), {false, true, false}, false, s(70));
         w.run_for(s(0.2));
         w.cancel_running(6);
         w.run_for(s(1));
         w.kv_store_outage(s(68));
         w.run_for(s(70));
     },
     [](ScenarioOptions& o) { o.task_s = 150; }},
    {"TenLeadersInTwoMinutesAlsoInAnOutage",
     [](SimulatedCluster& w) {
         for (int i = 0; i < 10; ++i) {
             w.crash_leader(s(0.3 + 0.4 * i));
             if (i % 4 == 1) w.kv_store_outage(s(9));
             w.cancel_running(1);
             w.run_for(s(11));
         }
     }},
    {"MoreWorkThanRoomOverSlowLinks",
     [](SimulatedCluster& w) {
         w.slow_kv_store(s(40));
         w.delay_commands(s(5));
         w.run_for(s(20));
         w.cancel_running(4);
         w.crash_leader(s(2));
         w.run_for(s(30));
     },
     [](ScenarioOptions& o) {
         o.jobs = 60;
         o.machines = 3;
     }},
    {"SlowThenTheLeaderRefusedThenAll",
     [](SimulatedCluster& w) {
         w.slow_kv_store(s(12));
         w.run_for(s(10));
         w.refuse_leader(s(12));
         w.cancel_running(3);
         w.run_for(s(3));
         w.cancel_running(3);
         w.kv_store_outage(s(50));
         w.run_for(s(60));
     }},
    {"TasksEndFarApartOverChangesOfLeader",
     [](SimulatedCluster& w) {
         for (int i = 0; i < 4; ++i) {
             w.crash_leader(s(3));
             w.delay_transactions(0.2, s(6));
             w.run_for(s(13));
         }
     },
     [](ScenarioOptions& o) { o.most_tasks = 3; }},
    {"AllControllersAwayBeyondTheLease",
     [](SimulatedCluster& w) {
         w.cancel_running(3);
         w.crash_all(s(21));
         w.run_for(s(30));
     }},
    {"LeaderEndsWhileMachinesAreNotReached",
     [](SimulatedCluster& w) {
         w.inject_worker_fault(WorkerFault::cut, 40, s(22));
         w.inject_worker_fault(WorkerFault::unresponsive, 40, s(25));
         w.run_for(s(1));
         w.crash_leader(s(4));
         w.cancel_running(3);
         w.run_for(s(35));
     },
     [](ScenarioOptions& o) { o.task_s = 60; }},
    {"TransactionsCarriedOutAfterNewerOnes",
     [](SimulatedCluster& w) {
         w.delay_transactions(0.3, s(50));
         w.run_for(s(15));
         w.cancel_running(4);
         w.crash_leader(s(1));
         w.run_for(s(35));
     }},
    {"AZoneCutOffBeyondTheLeaseWithAController",
     [](SimulatedCluster& w) {
         w.cut_zone("a", w.leader(), s(25));
         w.run_for(s(2));
         w.cancel_running(5);
         w.run_for(s(28));
         w.cut_zone("b", w.leader() + 1, s(25));
         w.cancel_running(5);
         w.run_for(s(30));
     }},
    {"ReportsArriveAfterANewLeaderHasActed",
     [](SimulatedCluster& w) {
         w.inject_worker_fault(WorkerFault::held, 60, s(9));
         w.duplicate_heartbeats(0.6, s(40));
         w.run_for(s(1));
         w.crash_leader(s(2));
         w.run_for(s(40));
     }},
    {"JobsBoundToAZoneLoseMachines",
     [](SimulatedCluster& w) {
         for (int i = 0; i < 3; ++i) {
             w.kill_machines(50);
             w.cut_zone(i % 2 ? "a" : "b", 0, s(8));
             w.run_for(s(15));
         }
     }},
    {"HandOverAndBackAllEndOneReturns",
     [](SimulatedCluster& w) {
         for (int i = 0; i < 3; ++i) {
             w.crash_leader(s(0.4));
             w.run_for(s(5));
             w.crash_leader(s(0.2));
             w.run_for(s(4));
             w.crash_all(s(6));
             w.crash_node(0, s(0.3));
             w.cancel_running(1);
             w.run_for(s(8));
         }
     }},
    {"AnIsolatedLeaderKeepsItsWorkersAndUsers",
     [](SimulatedCluster& w) {
         w.cut_node(w.leader(), {true, true, false}, true, s(50));
         w.run_for(s(4));
         w.cancel_running(8);
         w.run_for(s(50));
     },
     [](ScenarioOptions& o) { o.task_s = 100; }},
    {"MuteMachines",
     [](SimulatedCluster& w) {
         w.inject_worker_fault(WorkerFault::mute, 60, s(30));
         w.run_for(s(5));
         w.cancel_running(4);
         w.crash_leader(s(3));
         w.run_for(s(30));
     }},
    {"CancelledAskedAndSubmittedAsTheLastTaskEnds",
     [](SimulatedCluster& w) {
         w.cancel_on_completion(0.7, s(90));
         w.inject_invalid_requests(s(90));
         w.run_for(s(90));
     }},
    {"OldReportsOfEarlierSessionsAndAttempts",
     [](SimulatedCluster& w) {
         w.duplicate_heartbeats(0.8, s(60));
         w.inject_worker_fault(WorkerFault::cut, 50, s(18));
         w.run_for(s(20));
         w.inject_worker_fault(WorkerFault::hung, 50, s(18));
         w.delay_commands(s(6));
         w.run_for(s(40));
     }},
    {"ATeamAtItsLimitOverAChangeOfLeader",
     [](SimulatedCluster& w) {
         w.inject_worker_fault(WorkerFault::held, 40, s(20));
         w.crash_leader(s(3));
         w.run_for(s(0.5));
         w.cancel_running(6);
         w.run_for(s(30));
     },
     [](ScenarioOptions& o) {
         o.jobs = 60;
         o.machines = 16;
         o.task_s = 20;
     }},
};

class ConcurrentFaults : public testing::TestWithParam<std::tuple<Meeting, std::uint64_t>> {};

TEST_P(ConcurrentFaults, RulesHoldAndJobsEnd) {
    const auto& [meeting, seed] = GetParam();
    ScenarioOptions options;
    options.seed = seed;
    options.fault_every_s = 0;
    options.faults_s = 150;
    options.drain_s = 2000;
    meeting.options(options);
    SimulatedCluster world(options);
    world.run_for(s(45));
    meeting.bring_about(world);
    world.run();
    expect_completed(world);
    // The leader hears of a cancellation before the user does, or does not reach the machines
    // either.
    EXPECT_EQ(world.starts_after_cancellation(), 0u);
}
INSTANTIATE_TEST_SUITE_P(Named, ConcurrentFaults,
                         testing::Combine(testing::ValuesIn(kMeetings),
                                          testing::Range<std::uint64_t>(1, 4)),
                         [](const auto& p) {
                             return std::string(std::get<0>(p.param).name) + "_" +
                                    std::to_string(std::get<1>(p.param));
                         });

// Twos and threes of all troubles, so that meetings which nobody named are met too.
class RandomScenarios : public testing::TestWithParam<std::uint64_t> {};

TEST_P(RandomScenarios, RulesHoldAndJobsEnd) {
    SimulatedCluster world(random_scenario_options(GetParam()));
    run_random_scenario(world, GetParam());
    expect_completed(world);
}
INSTANTIATE_TEST_SUITE_P(Seeds, RandomScenarios, testing::Range<std::uint64_t>(7000, 7024));

}  // namespace
}  // namespace dunebridge::sim
