// Faulty jobs and faulty machines are told apart, and neither verdict is final.
#include "workers/failure_attribution.hpp"

#include <gtest/gtest.h>

#include "sim/cluster_state_fixture.hpp"

namespace dunebridge::workers {
namespace {

struct FailureAttributionTest : testing::Test {
    sim::ClusterStateFixture fixture;
    FailureAttribution attribution{fixture.context, fixture.cluster_state};

    // The job fails on so many machines, each of which is new.
    void fail_on_new_machines(state::Job& job, int count) {
        for (int i = 0; i < count; ++i)
            attribution.record_failure(job, fixture.add_machine(++machines));
    }
    int machines = 100;
};

TEST_F(FailureAttributionTest, AJobThatFailsOnSeveralMachinesIsAtFault) {
    auto& job = fixture.add_job(1, 50);
    fail_on_new_machines(job, 2);
    EXPECT_FALSE(job.failures.faulty);
    EXPECT_EQ(job.placeable_tasks(), 50u);
    fail_on_new_machines(job, 1);
    EXPECT_TRUE(job.failures.faulty);
    EXPECT_EQ(job.placeable_tasks(), 2u);
    for (const auto& [host, machine] : fixture.cluster_state.machines()) {
        EXPECT_FALSE(machine.worker.cordoned);
        EXPECT_TRUE(machine.worker.failures.empty());
    }
}

TEST_F(FailureAttributionTest, AFaultyJobHasAFewTasksAtATime) {
    auto& job = fixture.add_job(1, 50);
    fail_on_new_machines(job, 3);
    auto& machine = fixture.add_machine(1);
    fixture.cluster_state.place(job, machine);
    EXPECT_EQ(job.placeable_tasks(), 1u);
    fixture.cluster_state.place(job, machine);
    EXPECT_EQ(job.placeable_tasks(), 0u);
}

TEST_F(FailureAttributionTest, AJobThatSucceedsAgainRunsAtFullWidthAtOnce) {
    auto& job = fixture.add_job(1, 50);
    fail_on_new_machines(job, 4);
    ASSERT_TRUE(job.failures.faulty);
    attribution.record_success(job, fixture.add_machine(1));
    EXPECT_FALSE(job.failures.faulty);
    EXPECT_EQ(job.placeable_tasks(), 50u);
    EXPECT_LE(job.backoff.until, fixture.now);
}

TEST_F(FailureAttributionTest, AMachineOnWhichSeveralJobsFailIsAtFault) {
    auto& machine = fixture.add_machine(1);
    for (int n = 1; n <= 3; ++n) {
        EXPECT_FALSE(machine.worker.cordoned);
        attribution.record_failure(fixture.add_job(n), machine);
    }
    EXPECT_TRUE(machine.worker.cordoned);
}

// One job alone shows a faulty machine, if the job succeeds on others.
TEST_F(FailureAttributionTest, AJobThatSucceedsElsewhereWeighsMore) {
    auto& job = fixture.add_job(1, 50);
    auto& machine = fixture.add_machine(1);
    fixture.cluster_state.mark_done(job, 0);
    attribution.record_failure(job, machine);
    EXPECT_FALSE(machine.worker.cordoned);
    attribution.record_failure(job, machine);
    EXPECT_TRUE(machine.worker.cordoned);
    EXPECT_FALSE(job.failures.faulty);
}

// Each alone would have drained the machines on which two faulty jobs happen to begin.
TEST_F(FailureAttributionTest, TwoFaultyJobsDoNotCondemnHealthyMachines) {
    auto& first = fixture.add_job(1, 20);
    auto& second = fixture.add_job(2, 20);
    for (int n = 1; n <= 9; ++n) {
        auto& machine = fixture.add_machine(n);
        attribution.record_failure(first, machine);
        attribution.record_failure(second, machine);
    }
    EXPECT_TRUE(first.failures.faulty);
    EXPECT_TRUE(second.failures.faulty);
    for (const auto& [host, machine] : fixture.cluster_state.machines())
        EXPECT_FALSE(machine.worker.cordoned);
}

TEST_F(FailureAttributionTest, AFaultyMachineIsFoundWhileFaultyJobsAreAbout) {
    auto& faulty_job = fixture.add_job(1, 20);
    auto& machine = fixture.add_machine(1);
    attribution.record_failure(faulty_job, machine);
    fail_on_new_machines(faulty_job, 3);
    ASSERT_TRUE(faulty_job.failures.faulty);
    auto& healthy = fixture.add_job(2, 20);
    fixture.cluster_state.mark_done(healthy, 0);
    attribution.record_failure(healthy, machine);
    attribution.record_failure(faulty_job, machine);  // says nothing about the machine any more
    EXPECT_FALSE(machine.worker.cordoned);
    attribution.record_failure(healthy, machine);
    EXPECT_TRUE(machine.worker.cordoned);
}

// Three machines that fail everything do not make a job that runs there look faulty.
TEST_F(FailureAttributionTest, MachinesThatFailOtherJobsTooSayNothingAboutOne) {
    auto& job = fixture.add_job(1, 20);
    for (int n = 1; n <= 3; ++n) {
        auto& machine = fixture.add_machine(n);
        attribution.record_failure(fixture.add_job(10 + n), machine);
        attribution.record_failure(job, machine);
    }
    EXPECT_FALSE(job.failures.faulty);
}

TEST_F(FailureAttributionTest, AMachineIsClearedWhenTheEvidenceAgainstItIsAJobsFault) {
    auto& machine = fixture.add_machine(1);
    auto& job = fixture.add_job(1, 20);
    attribution.record_failure(job, machine);
    attribution.record_failure(fixture.add_job(2), machine);
    attribution.record_failure(fixture.add_job(3), machine);
    ASSERT_TRUE(machine.worker.cordoned);
    fail_on_new_machines(job, 3);
    ASSERT_TRUE(job.failures.faulty);
    EXPECT_FALSE(machine.worker.cordoned);
}

TEST_F(FailureAttributionTest, SuccessClearsTheMachine) {
    auto& machine = fixture.add_machine(1);
    attribution.record_failure(fixture.add_job(1), machine);
    attribution.record_failure(fixture.add_job(2), machine);
    attribution.record_success(fixture.add_job(3), machine);
    attribution.record_failure(fixture.add_job(4), machine);
    EXPECT_FALSE(machine.worker.cordoned);
}

// The tasks that fail together count once, and the job is still tried within 90 s.
TEST_F(FailureAttributionTest, PausesGrowToALimitAndOneWaveOfFailuresCountsOnce) {
    auto& job = fixture.add_job(1, 50);
    for (int n = 0; n < 20; ++n) attribution.start_backoff(job);
    EXPECT_LT(job.backoff.until - fixture.now, Millis(1300));
    Millis longest{0};
    for (int n = 0; n < 12; ++n) {
        fixture.advance(std::max(job.backoff.until - fixture.now, Millis(0)));
        attribution.start_backoff(job);
        EXPECT_GT(job.backoff.until, fixture.now);
        longest = std::max(longest, job.backoff.until - fixture.now);
    }
    EXPECT_GE(longest, Millis(30000));
    EXPECT_LE(longest, Millis(37500));
}

}  // namespace
}  // namespace dunebridge::workers
