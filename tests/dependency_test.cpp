/// \file
/// One controller and jobs that depend on others: what is accepted, when a dependent job starts,
/// and how a cancellation reaches the whole chain.
#include <gtest/gtest.h>

#include "dependency_fixtures.hpp"

namespace dunebridge::sim {
namespace {

// Three jobs, each of which waits on the one before.
void submit_chain(ControllerHarness& s) {
    ASSERT_EQ(s.submit(job(1)), 201);
    ASSERT_EQ(s.submit(dependent_job(2, {job(1).id})), 201);
    ASSERT_EQ(s.submit(dependent_job(3, {job(2).id})), 201);
}

TEST(Dependencies, WhatASubmissionMayName) {
    ControllerHarness s(1);
    s.run(Millis(3000));
    const auto first = job(1);
    ASSERT_EQ(s.submit(first), 201);
    EXPECT_EQ(s.submit(dependent_job(2, {JobId("req-999999")})), 422);
    EXPECT_EQ(s.submit(dependent_job(2, {JobId("req-000002")})), 422);
    EXPECT_EQ(s.submit(dependent_job(2, {first.id, first.id})), 201);
    // A known id is answered with its state, whatever the repeat names.
    EXPECT_EQ(s.submit(dependent_job(2, {JobId("req-999999")})), 200);
    std::vector<JobId> many;
    for (int n = 100; n < 400; ++n) many.push_back(first.id);
    EXPECT_EQ(s.submit(dependent_job(3, many)), 201);
    wire::Writer w;
    wire::encode_job(w, dependent_job(4, {JobId("not an id")}));
    EXPECT_EQ(s.request("POST", "/v1/jobs", w.take()).status, 400);
    // What the key-value store does not confirm is neither taken nor refused.
    s.state().set_outage(true);
    EXPECT_EQ(s.submit(dependent_job(5, {JobId("req-999998")})), 503);
}

// An older version that may yet lead would start its tasks at once.
TEST(Dependencies, NothingIsAcceptedWhileAControllerMayBeOld) {
    auto config = ControllerHarness::config();
    config.peers.push_back({ControllerName("node-1"), "a", "node-1"});
    ControllerHarness s(1, config);
    s.run(Millis(3000));
    ASSERT_EQ(s.submit(job(1)), 201);
    s.run(Millis(3000));
    wire::Writer w;
    wire::encode_job(w, dependent_job(2, {job(1).id}));
    const auto answer = s.request("POST", "/v1/jobs", w.take());
    EXPECT_EQ(answer.status, 503);
    EXPECT_GT(answer.retry_after.count(), 0);
    EXPECT_EQ(s.state().value(kv::kFormatMarkerKey), "");
    EXPECT_EQ(s.state().value(kv::job_key(job(2).id)), "");
}

TEST(Dependencies, ACancellationGoesDownTheWholeChain) {
    ControllerHarness s(1);
    s.run(Millis(3000));
    submit_chain(s);
    EXPECT_EQ(s.phase(job(3).id), "pending");
    ASSERT_EQ(s.request("POST", "/v1/jobs/" + job(1).id.get() + "/abort", {}).status, 200);
    s.run(Millis(1000));
    EXPECT_NE(s.state().value(kv::terminal_key(job(2).id)), "");
    EXPECT_NE(s.state().value(kv::terminal_key(job(3).id)), "");
    EXPECT_EQ(s.phase(job(3).id), "withdrawn");
    // Accepted all the same, and cancelled.
    ASSERT_EQ(s.submit(dependent_job(4, {job(1).id})), 201);
    s.run(Millis(1000));
    EXPECT_EQ(s.phase(job(4).id), "withdrawn");
}

// A poll never says `pending` once the same transaction can know better, whoever leads.
TEST(Dependencies, APollKnowsOfACancellationBeforeTheLeaderDoes) {
    ControllerHarness s(1);
    s.run(Millis(3000));
    submit_chain(s);
    s.run(Millis(500));
    s.state().set_watches_stalled(true);
    s.write(kv::terminal_key(job(1).id),
            wire::Writer().map(1).text("phase").text("withdrawn").take());
    EXPECT_EQ(s.phase(job(3).id), "withdrawn");
}

// Nothing is rented for it, and another job of its team may use the whole limit.
TEST(Dependencies, AJobThatWaitsHoldsNothing) {
    auto config = ControllerHarness::config();
    config.teams.push_back({"few", 0, 0, 2, 0});
    ControllerHarness s(1, config);
    s.run(Millis(3000));
    const auto never_over = accepted_elsewhere(s, 50);
    auto waiting = dependent_job(1, {never_over});
    waiting.team = "few";
    waiting.cores = 2;
    waiting.priority = wire::Priority::urgent;
    ASSERT_EQ(s.submit(waiting), 201);
    s.run(Millis(20000));
    EXPECT_FALSE(s.logged("event=scale_out"));
    EXPECT_EQ(s.phase(waiting.id), "pending");
    auto other = job(2);
    other.team = "few";
    other.cores = 2;
    ASSERT_EQ(s.submit(other), 201);
    auto w = ready_machine(s, 0);
    run_workers(s, {&w}, 3);
    EXPECT_EQ(s.recorded_hosts(other.id), std::vector<std::string>{w.heartbeat.host.get()});
    EXPECT_TRUE(s.recorded_hosts(waiting.id).empty());
}

TEST(Dependencies, ACancellationAnsweredDoneLetsTheRestGoOn) {
    ControllerHarness s(1);
    s.run(Millis(3000));
    const auto first = job(1);
    const auto second = dependent_job(2, {first.id});
    ASSERT_EQ(s.submit(first), 201);
    ASSERT_EQ(s.submit(second), 201);
    auto w = ready_machine(s, 0);
    run_workers(s, {&w}, 3);
    EXPECT_TRUE(s.recorded_hosts(second.id).empty());
    finish_task(w, first.id);
    run_workers(s, {&w}, 2);
    const auto answer = s.request("POST", "/v1/jobs/" + first.id.get() + "/abort", {});
    EXPECT_EQ(wire::Document::parse(answer.body)->root()["phase"].text(), "done");
    run_workers(s, {&w}, 4);
    EXPECT_EQ(s.recorded_hosts(second.id), std::vector<std::string>{w.heartbeat.host.get()});
}

}  // namespace
}  // namespace dunebridge::sim
