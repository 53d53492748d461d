/// \file
/// Start commands that were executed and answered arrive at their machine again, after the task has
/// moved or its job was cancelled, and while controllers and machines are back within a second.
#include <gtest/gtest.h>

#include "sim/expectations.hpp"
#include "sim/named_scenario.hpp"
#include "sim/simulated_cluster.hpp"

namespace dunebridge::sim {
namespace {

using WorkerFault = FaultInjector::WorkerFault;

Millis s(double seconds) { return from_seconds(seconds); }

// Injects the faults of a round. Rounds count from 0.
using Scenario = NamedScenario<FaultInjector&, int>;

constexpr int kRounds = 10;

// What happens between a start command and its copies. In each round a job is cancelled and tasks
// fail, so that they start again, some on another machine.
const Scenario kScenarios[] = {
    {"TasksMoveAndJobsAreCancelled", [](FaultInjector&, int) {}},
    {"TheLeaderIsBackWithinASecond",
     [](FaultInjector& faults, int round) { faults.crash_leader(s(0.1 + 0.08 * round)); }},
    {"AllControllersAreBackWithinASecond",
     [](FaultInjector& faults, int round) { faults.crash_all(s(0.1 + 0.08 * round)); }},
    {"MachinesHangForLessThanASecond",
     [](FaultInjector& faults, int round) {
         faults.inject_worker_fault(WorkerFault::hung, 60, s(0.1 + 0.08 * round));
     }},
    {"WorkersRestartAtOnce", [](FaultInjector& faults, int) { faults.restart_workers(40); }},
    {"LeaderAndMachinesAreBackTogether",
     [](FaultInjector& faults, int) {
         faults.restart_workers(30);
         faults.inject_worker_fault(WorkerFault::hung, 30, s(0.7));
         faults.crash_leader(s(0.3));
     }},
};

class RepeatedCommands : public testing::TestWithParam<std::tuple<Scenario, std::uint64_t>> {};

// Guards against a task that runs on two machines, and a cancelled task that runs again, after a
// copy of the direct command that had started it.
TEST_P(RepeatedCommands, StartNothingAgain) {
    const auto& [scenario, seed] = GetParam();
    ScenarioOptions options;
    options.seed = seed;
    options.fault_every_s = 0;
    options.faults_s = 150;
    options.drain_s = 2000;
    options.jobs = 80;
    options.machines = 5;
    scenario.options(options);
    SimulatedCluster cluster(options);
    cluster.faults().repeat_commands(1, s(1000));
    cluster.run_for(s(45));
    for (int round = 0; round < kRounds; ++round) {
        cluster.faults().fail_tasks(40, s(4));
        cluster.faults().cancel_running(1);
        scenario.inject(cluster.faults(), round);
        cluster.run_for(s(8));
    }
    cluster.run();
    expect_completed(cluster);
    const auto& statistics = cluster.statistics();
    EXPECT_EQ(statistics.starts_after_cancellation, 0u);
    // The day has had the copies that it is about.
    EXPECT_GT(statistics.repeated_commands_fenced, 100u);
    EXPECT_GT(statistics.repeated_starts_after_move, 0u);
    EXPECT_GT(statistics.repeated_starts_after_cancellation, 0u);
}
INSTANTIATE_TEST_SUITE_P(Named, RepeatedCommands,
                         testing::Combine(testing::ValuesIn(kScenarios),
                                          testing::Range<std::uint64_t>(1, 4)),
                         name_with_seed<Scenario>);

}  // namespace
}  // namespace dunebridge::sim
