// Jobs that wait on others: what is accepted, when they start, and how a cancellation goes down a
// chain; together with the troubles drawn for the meetings.
#include <gtest/gtest.h>

#include "sim/drawn.hpp"
#include "sim/expect.hpp"
#include "sim/script.hpp"

namespace dunebridge::sim {
namespace {

wire::JobSpec job(int n, std::vector<JobId> needs = {}) {
    auto s = sim::job(n);
    s.waits_on = std::move(needs);
    return s;
}

TEST(Chains, WhatASubmissionMayName) {
    Script s(1);
    s.run(Millis(3000));
    const auto first = job(1);
    ASSERT_EQ(s.submit(first), 201);
    EXPECT_EQ(s.submit(job(2, {JobId("req-999999")})), 422);
    EXPECT_EQ(s.submit(job(2, {JobId("req-000002")})), 422);
    EXPECT_EQ(s.submit(job(2, {first.id, first.id})), 201);
    // A known id is answered with its state, whatever the repeat names.
    EXPECT_EQ(s.submit(job(2, {JobId("req-999999")})), 200);
    std::vector<JobId> many;
    for (int n = 100; n < 400; ++n) many.push_back(first.id);
    EXPECT_EQ(s.submit(job(3, many)), 201);
    wire::Writer w;
    wire::encode_job(w, job(4, {JobId("not an id")}));
    EXPECT_EQ(s.ask("POST", "/v1/jobs", w.take()).status, 400);
    // What the state service does not confirm is neither taken nor refused.
    s.state().set_outage(true);
    EXPECT_EQ(s.submit(job(5, {JobId("req-999998")})), 503);
}

// An older version that may yet lead would start its tasks at once.
TEST(Chains, NothingIsAcceptedWhileAControllerMayBeOld) {
    auto config = Script::config();
    config.known.push_back({NodeName("node-1"), "a", "node-1"});
    Script s(1, config);
    s.run(Millis(3000));
    ASSERT_EQ(s.submit(job(1)), 201);
    s.run(Millis(3000));
    wire::Writer w;
    wire::encode_job(w, job(2, {job(1).id}));
    const auto answer = s.ask("POST", "/v1/jobs", w.take());
    EXPECT_EQ(answer.status, 503);
    EXPECT_GT(answer.retry_after_s, 0);
    EXPECT_EQ(s.state().value(state::kFormatMark), "");
    EXPECT_EQ(s.state().value(state::job_key(job(2).id)), "");
}

TEST(Chains, ACancellationGoesDownTheWholeChain) {
    Script s(1);
    s.run(Millis(3000));
    ASSERT_EQ(s.submit(job(1)), 201);
    ASSERT_EQ(s.submit(job(2, {job(1).id})), 201);
    ASSERT_EQ(s.submit(job(3, {job(2).id})), 201);
    EXPECT_EQ(s.phase(job(3).id), "pending");
    ASSERT_EQ(s.ask("POST", "/v1/jobs/" + job(1).id.get() + "/abort", {}).status, 200);
    s.run(Millis(1000));
    EXPECT_NE(s.state().value(state::end_key(job(2).id)), "");
    EXPECT_NE(s.state().value(state::end_key(job(3).id)), "");
    EXPECT_EQ(s.phase(job(3).id), "withdrawn");
    // Accepted all the same, and withdrawn.
    ASSERT_EQ(s.submit(job(4, {job(1).id})), 201);
    s.run(Millis(1000));
    EXPECT_EQ(s.phase(job(4).id), "withdrawn");
}

// A poll never says `pending` once the same transaction can know better, whoever leads.
TEST(Chains, APollKnowsOfACancellationBeforeTheLeaderDoes) {
    Script s(1);
    s.run(Millis(3000));
    ASSERT_EQ(s.submit(job(1)), 201);
    ASSERT_EQ(s.submit(job(2, {job(1).id})), 201);
    ASSERT_EQ(s.submit(job(3, {job(2).id})), 201);
    s.run(Millis(500));
    s.state().set_watches_stalled(true);
    s.write(state::end_key(job(1).id),
            wire::Writer().map(1).text("phase").text("withdrawn").take());
    EXPECT_EQ(s.phase(job(3).id), "withdrawn");
}

class Chained : public testing::TestWithParam<std::uint64_t> {};

TEST_P(Chained, RulesHoldAndJobsEnd) {
    auto options = drawn_options(GetParam());
    options.pipelines = 12;
    World world(options);
    run_drawn(world, GetParam());
    expect_over(world);
}
INSTANTIATE_TEST_SUITE_P(Seeds, Chained, testing::Range<std::uint64_t>(8000, 8016));

}  // namespace
}  // namespace dunebridge::sim
