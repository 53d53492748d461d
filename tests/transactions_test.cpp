// Transactions of the cluster state whose responses are lost: each is carried out once or not at
// all, and the leader keeps its term meanwhile.
#include <gtest/gtest.h>

#include "kv/keys.hpp"
#include "kv/records.hpp"
#include "sim/controller_harness.hpp"
#include "sim/expectations.hpp"
#include "sim/simulated_cluster.hpp"

namespace dunebridge::sim {
namespace {

constexpr Millis kFaultTime{90000};

ScenarioOptions busy_options(std::uint64_t seed) {
    ScenarioOptions options;
    options.seed = seed;
    options.fault_every_s = 0;
    options.faults_s = 130;
    options.jobs = 60;
    options.pipelines = 6;
    return options;
}

// The leader's transaction with a job's completion is lost, and a user's cancellation at another
// controller comes first: what is on record holds, also for the job that depends on it.
TEST(LostTransaction, OfATerminalPhaseYieldsToACancellation) {
    ControllerHarness s(1);
    s.run(Millis(3000));
    const auto first = job(1);
    auto second = job(2);
    second.dependencies = {first.id};
    ASSERT_EQ(s.submit(first), 201);
    ASSERT_EQ(s.submit(second), 201);
    auto w = ready_machine(s, 0);
    run_workers(s, {&w}, 3);
    s.state().set_watches_stalled(true);  // nor does the watch of terminal phases show it
    s.set_writes_lost(true);
    finish_task(w, first.id);
    run_workers(s, {&w}, 1);
    s.write(kv::terminal_key(first.id),
            encode(kv::TerminalRecord{wire::JobPhase::cancelled, std::nullopt, 1}).packed);
    s.set_writes_lost(false);
    run_workers(s, {&w}, 5);
    EXPECT_TRUE(s.logged("event=transaction_retried"));
    EXPECT_FALSE(s.logged("event=transaction_outcome_unknown"));
    EXPECT_EQ(s.phase(first.id), "withdrawn");
    EXPECT_EQ(s.phase(second.id), "withdrawn");
    EXPECT_TRUE(s.recorded_hosts(second.id).empty());
}

class LostResponses : public testing::TestWithParam<std::uint64_t> {};

// The leader keeps its term while a share of the transactions has no answer in time.
void expect_no_term_lost(std::uint64_t seed, void (FaultInjector::*lose)(double, Millis)) {
    SimulatedCluster cluster(busy_options(seed));
    cluster.run_for(Millis(10000));
    const auto terms = cluster.statistics().terms;
    (cluster.faults().*lose)(0.25, kFaultTime);
    cluster.run_for(kFaultTime);
    EXPECT_EQ(cluster.statistics().terms, terms);
    cluster.run();
    expect_completed(cluster);
}

// Earlier, each lost response cost a term and a load of the cluster state: one every three seconds.
TEST_P(LostResponses, OfTransactionsCarriedOutLateCostNoTerm) {
    expect_no_term_lost(GetParam(), &FaultInjector::delay_transactions);
}

TEST_P(LostResponses, OfTransactionsCarriedOutAtOnceCostNoTerm) {
    expect_no_term_lost(GetParam(), &FaultInjector::drop_transaction_responses);
}

// Both kinds at once, while jobs are cancelled and leaders change.
TEST_P(LostResponses, AndCancellationsAndOtherLeaders) {
    SimulatedCluster cluster(busy_options(GetParam()));
    cluster.run_for(Millis(10000));
    cluster.faults().delay_transactions(0.3, kFaultTime);
    cluster.faults().drop_transaction_responses(0.3, kFaultTime);
    cluster.faults().cancel_on_completion(0.5, kFaultTime);
    for (int n = 0; n < 6; ++n) {
        cluster.faults().cancel_running(2);
        cluster.run_for(Millis(8000));
        if (n % 2 == 1) cluster.faults().crash_leader(Millis(300));
        cluster.run_for(Millis(5000));
    }
    cluster.run();
    expect_completed(cluster);
}
INSTANTIATE_TEST_SUITE_P(Seeds, LostResponses, testing::Range<std::uint64_t>(1, 7));

}  // namespace
}  // namespace dunebridge::sim
