/// \file
/// Start commands that were executed and answered arrive at their machine again, after the task has
/// moved or its job was cancelled, and while controllers and machines are back within a second.
#include <gtest/gtest.h>

#include <ostream>

#include "sim/expectations.hpp"
#include "sim/simulated_cluster.hpp"

namespace dunebridge::sim {
namespace {

using WorkerFault = FaultInjector::WorkerFault;

Millis s(double seconds) { return from_seconds(seconds); }

struct Scenario {
    const char* name;
    void (*inject)(SimulatedCluster&);
};

void PrintTo(const Scenario& scenario, std::ostream* out) { *out << scenario.name; }

// What happens between a start command and its copies. Each scenario lasts about a minute.
const Scenario kScenarios[] = {
    {"TasksFailAndMove",
     [](SimulatedCluster& w) {
         for (int i = 0; i < 6; ++i) {
             w.faults().fail_tasks(40, s(4));
             w.run_for(s(10));
         }
     }},
    {"JobsAreCancelled",
     [](SimulatedCluster& w) {
         for (int i = 0; i < 12; ++i) {
             w.faults().cancel_running(2);
             w.run_for(s(5));
         }
     }},
    {"TheLeaderIsBackWithinASecond",
     [](SimulatedCluster& w) {
         for (int i = 0; i < 12; ++i) {
             w.faults().cancel_running(1);
             w.faults().crash_leader(s(0.1 + 0.07 * i));
             w.run_for(s(5));
         }
     }},
    {"AllControllersAreBackWithinASecond",
     [](SimulatedCluster& w) {
         for (int i = 0; i < 8; ++i) {
             w.faults().cancel_running(1);
             w.faults().crash_all(s(0.1 + 0.1 * i));
             w.run_for(s(8));
         }
     }},
    {"MachinesHangForLessThanASecond",
     [](SimulatedCluster& w) {
         for (int i = 0; i < 20; ++i) {
             w.faults().cancel_running(i % 2);
             w.faults().inject_worker_fault(WorkerFault::hung, 60, s(0.2 + 0.04 * i));
             w.run_for(s(3));
         }
     }},
    {"WorkersRestartAtOnce",
     [](SimulatedCluster& w) {
         for (int i = 0; i < 10; ++i) {
             w.faults().cancel_running(1);
             w.faults().restart_workers(40);
             w.run_for(s(6));
         }
     }},
    {"LeaderAndWorkersRestartTogether",
     [](SimulatedCluster& w) {
         for (int i = 0; i < 8; ++i) {
             w.faults().cancel_running(1);
             w.faults().restart_workers(30);
             w.faults().inject_worker_fault(WorkerFault::hung, 30, s(0.7));
             w.faults().crash_leader(s(0.3));
             w.run_for(s(8));
         }
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
    options.jobs = 50;
    options.machines = 5;
    SimulatedCluster cluster(options);
    cluster.faults().repeat_commands(1, s(1000));
    cluster.run_for(s(45));
    scenario.inject(cluster);
    cluster.run();
    expect_completed(cluster);
    EXPECT_EQ(cluster.statistics().starts_after_cancellation, 0u);
    // The scenario has tried what it is about.
    EXPECT_GT(cluster.statistics().repeated_commands, 100u);
    EXPECT_GT(cluster.statistics().repeated_commands_fenced, 10u);
}
INSTANTIATE_TEST_SUITE_P(Named, RepeatedCommands,
                         testing::Combine(testing::ValuesIn(kScenarios),
                                          testing::Range<std::uint64_t>(1, 4)),
                         [](const auto& p) {
                             return std::string(std::get<0>(p.param).name) + "_" +
                                    std::to_string(std::get<1>(p.param));
                         });

}  // namespace
}  // namespace dunebridge::sim
