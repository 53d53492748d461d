// Rolling upgrades in every order, with faults, and key-value store limits that fall without
// notice.
#include <gtest/gtest.h>

#include <ostream>
#include <tuple>

#include "sim/expectations.hpp"
#include "sim/simulated_cluster.hpp"

namespace dunebridge::sim {
namespace {

Millis s(double seconds) { return from_seconds(seconds); }

ScenarioOptions large_jobs(std::uint64_t seed) {
    ScenarioOptions o;
    o.seed = seed;
    o.fault_every_s = 0;
    o.faults_s = 200;
    o.drain_s = 1500;
    o.jobs = 40;
    o.machines = 60;
    o.most_tasks = 300;
    o.old_format = config::kChunkFormat;
    o.pipelines = 10;
    o.pipelines_after_s = 110;
    o.limits = config::KvLimits({200, 80, 16, 48}, config::KvLimits::Set{200, 56, 2, 16});
    return o;
}

void run_and_expect_completed(SimulatedCluster& cluster) {
    cluster.run();
    expect_completed(cluster, 1000);
}

class Upgrade : public testing::TestWithParam<std::uint64_t> {};

// Processes are replaced one after the other while leaders come and go and jobs are cancelled; the
// format changes once all have shown the new version, and then the limits fall.
TEST_P(Upgrade, BothVersionsServeAndTheLimitsFall) {
    SimulatedCluster cluster(large_jobs(GetParam()));
    cluster.run_for(s(50));
    for (std::size_t i = 0; i < cluster.controllers().size(); ++i) {
        cluster.faults().upgrade((i + GetParam()) % cluster.controllers().size(), s(3));
        cluster.run_for(s(4));
        // Leadership moves back and forth between the versions.
        if (i == 1) {
            cluster.faults().partition_controller(cluster.controllers().leader(),
                                                  {true, true, false}, LinkFault::delay, s(5));
        } else {
            cluster.faults().crash_leader(s(1));
        }
        cluster.faults().cancel_running(1);
        cluster.run_for(s(6));
        if (i + 1 < cluster.controllers().size()) {
            EXPECT_EQ(cluster.record_format(), config::kChunkFormat);
        }
    }
    cluster.run_for(s(10));
    EXPECT_EQ(cluster.record_format(), config::kNewestFormat);
    cluster.faults().lower_limits();
    cluster.run_for(s(20));
    cluster.faults().crash_leader(s(2));
    cluster.faults().delay_transactions(0.2, s(20));
    run_and_expect_completed(cluster);
    // All values and transactions were within the smaller limits by then.
    EXPECT_EQ(cluster.kv_store().violations(), 0u);
}
INSTANTIATE_TEST_SUITE_P(Seeds, Upgrade, testing::Range<std::uint64_t>(1, 5));

// ---- roll-outs in every order, with faults during them ----

struct RollOut {
    const char* name;
    // Ends with every controller upgraded.
    void (*upgrade_all)(SimulatedCluster&);
};
void PrintTo(const RollOut& rollout, std::ostream* out) { *out << rollout.name; }

// One after the other, beginning with the node, a few seconds apart.
void one_by_one(SimulatedCluster& cluster, std::size_t first) {
    for (std::size_t i = 0; i < cluster.controllers().size(); ++i) {
        cluster.faults().upgrade((first + i) % cluster.controllers().size(), s(3));
        cluster.run_for(s(8));
    }
}

const RollOut kRollOuts[] = {
    {"TheLeaderFirst",
     [](SimulatedCluster& cluster) { one_by_one(cluster, cluster.controllers().leader()); }},
    {"TheLeaderLast",
     [](SimulatedCluster& cluster) { one_by_one(cluster, cluster.controllers().leader() + 1); }},
    {"TwoAtOnce",
     [](SimulatedCluster& cluster) {
         const auto leader = cluster.controllers().leader();
         cluster.faults().upgrade(leader, s(3));
         cluster.faults().upgrade((leader + 1) % cluster.controllers().size(), s(3));
         cluster.run_for(s(10));
         cluster.faults().upgrade((leader + 2) % cluster.controllers().size(), s(3));
     }},
    {"AllAtOnce",
     [](SimulatedCluster& cluster) {
         for (std::size_t i = 0; i < cluster.controllers().size(); ++i)
             cluster.faults().upgrade(i, s(2));
     }},
    {"OneDiesEarlyAndComesBackOld",
     [](SimulatedCluster& cluster) {
         const auto leader = cluster.controllers().leader();
         cluster.faults().upgrade(leader, s(3));
         cluster.run_for(s(2));
         cluster.faults().crash_controller((leader + 1) % cluster.controllers().size(), s(2));
         cluster.run_for(s(8));
         EXPECT_NE(cluster.record_format(), config::kNewestFormat);
         one_by_one(cluster, leader + 1);
     }},
    {"QuickRestartsDuringAnElection",
     [](SimulatedCluster& cluster) {
         for (std::size_t i = 0; i < cluster.controllers().size(); ++i) {
             cluster.faults().crash_leader(s(0.2));
             cluster.run_for(s(0.4));
             cluster.faults().upgrade(i, s(0.2));
             cluster.run_for(s(0.5));
             cluster.faults().crash_controller(i + 1, s(0.3));
             cluster.run_for(s(6));
         }
     }},
    {"AnOutageOfTheKeyValueStore",
     [](SimulatedCluster& cluster) {
         cluster.faults().upgrade(0, s(3));
         cluster.run_for(s(5));
         cluster.faults().kv_store_outage(s(30));
         cluster.faults().upgrade(1, s(3));
         cluster.faults().cancel_running(2);
         cluster.run_for(s(10));
         cluster.faults().upgrade(2, s(3));
         cluster.run_for(s(25));
     }},
    {"TheLeaderRefused",
     [](SimulatedCluster& cluster) {
         const auto leader = cluster.controllers().leader();
         cluster.faults().upgrade((leader + 1) % cluster.controllers().size(), s(3));
         cluster.run_for(s(5));
         cluster.faults().refuse_leader(s(20));
         cluster.faults().cancel_running(2);
         cluster.run_for(s(10));
         one_by_one(cluster, leader + 2);
     }},
    {"AZonePartitioned",
     [](SimulatedCluster& cluster) {
         cluster.faults().upgrade(0, s(3));
         cluster.run_for(s(5));
         cluster.faults().partition_zone("a", 1, s(20));
         cluster.faults().upgrade(2, s(3));
         cluster.run_for(s(25));
         cluster.faults().upgrade(1, s(3));
     }},
    {"TwoZonesPartitionedFromEachOther",
     [](SimulatedCluster& cluster) {
         const auto leader = cluster.controllers().leader();
         cluster.faults().upgrade((leader + 1) % cluster.controllers().size(), s(3));
         cluster.run_for(s(5));
         cluster.faults().partition_controller(leader, {false, true, false}, LinkFault::delay,
                                               s(20));
         cluster.faults().inject_worker_fault(FaultInjector::WorkerFault::delayed, 50, s(20));
         cluster.run_for(s(8));
         one_by_one(cluster, leader + 2);
     }},
    {"LimitsFallBefore",
     [](SimulatedCluster& cluster) {
         cluster.faults().lower_limits();
         one_by_one(cluster, 0);
     }},
    {"LimitsFallWithinWhileALeaderLoads",
     [](SimulatedCluster& cluster) {
         cluster.faults().upgrade(0, s(3));
         cluster.run_for(s(5));
         cluster.faults().delay_transactions(0.2, s(20));
         cluster.faults().crash_leader(s(1));
         cluster.run_for(s(1.1));
         cluster.faults().lower_limits();
         one_by_one(cluster, 1);
     }},
};

class Rollouts : public testing::TestWithParam<std::tuple<RollOut, std::uint64_t, std::uint64_t>> {
};

TEST_P(Rollouts, KeepTheInvariantsAndEndInTheNewestFormat) {
    const auto& [rollout, old_format, seed] = GetParam();
    auto options = large_jobs(seed);
    options.old_format = old_format;
    options.fan_in = 20;
    SimulatedCluster cluster(options);
    cluster.run_for(s(45));
    rollout.upgrade_all(cluster);
    cluster.run_for(s(15));
    EXPECT_EQ(cluster.record_format(), config::kNewestFormat);
    cluster.faults().lower_limits();
    run_and_expect_completed(cluster);
}
INSTANTIATE_TEST_SUITE_P(EveryOrder, Rollouts,
                         testing::Combine(testing::ValuesIn(kRollOuts),
                                          testing::Values(config::kChunkFormat,
                                                          config::kRangeFormat),
                                          testing::Values(1)),
                         [](const auto& row) {
                             return fmt::format("{}From{}Seed{}", std::get<0>(row.param).name,
                                                std::get<1>(row.param), std::get<2>(row.param));
                         });

// One controller stays down, so that the older format stays in force when the limits fall: the
// cluster state goes on working, with what fits.
TEST(LimitsBeforeFormatSwitch, TheClusterStateGoesOnWorking) {
    SimulatedCluster cluster(large_jobs(9));
    cluster.run_for(s(40));
    cluster.faults().upgrade(1, s(2));
    cluster.faults().upgrade(2, s(2));
    cluster.faults().crash_controller(0, s(70));
    cluster.run_for(s(30));
    EXPECT_EQ(cluster.record_format(), config::kChunkFormat);
    cluster.faults().lower_limits();
    cluster.run_for(s(25));
    const auto started = cluster.statistics().tasks_started;
    cluster.run_for(s(15));
    EXPECT_GT(cluster.statistics().tasks_started, started);
    EXPECT_EQ(cluster.record_format(), config::kChunkFormat);
    cluster.faults().upgrade(0, s(2));
    run_and_expect_completed(cluster);
    EXPECT_EQ(cluster.record_format(), config::kNewestFormat);
}

}  // namespace
}  // namespace dunebridge::sim
