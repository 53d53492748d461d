// Jobs that wait on others: what is accepted, when they start, and how a cancellation goes down a
// chain; together with the troubles drawn for the meetings.
#include <gtest/gtest.h>

#include <algorithm>
#include <random>

#include "config/record_format.hpp"
#include "kv/records.hpp"
#include "sim/controller_harness.hpp"
#include "sim/expectations.hpp"
#include "sim/random_scenarios.hpp"
#include "state/dependency_graph.hpp"

namespace dunebridge::sim {
namespace {

wire::JobSpec job(int n, std::vector<JobId> dependencies = {}) {
    auto s = sim::job(n);
    s.waits_on = std::move(dependencies);
    return s;
}

// Accepted by another node: a job that fits no machine of this world, so that it stays open.
JobId accepted_elsewhere(ControllerHarness& s, int n) {
    auto spec = job(n);
    spec.cores = 500;
    kv::JobRecord record;
    record.submitted_ms = 1700000000000;
    record.spec = spec;
    s.write(kv::job_key(spec.id), encode(record).packed);
    return spec.id;
}

TEST(Dependencies, WhatASubmissionMayName) {
    ControllerHarness s(1);
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
TEST(Dependencies, NothingIsAcceptedWhileAControllerMayBeOld) {
    auto config = ControllerHarness::config();
    config.peers.push_back({ControllerName("node-1"), "a", "node-1"});
    ControllerHarness s(1, config);
    s.run(Millis(3000));
    ASSERT_EQ(s.submit(job(1)), 201);
    s.run(Millis(3000));
    wire::Writer w;
    wire::encode_job(w, job(2, {job(1).id}));
    const auto answer = s.ask("POST", "/v1/jobs", w.take());
    EXPECT_EQ(answer.status, 503);
    EXPECT_GT(answer.retry_after_s, 0);
    EXPECT_EQ(s.state().value(kv::kFormatMark), "");
    EXPECT_EQ(s.state().value(kv::job_key(job(2).id)), "");
}

TEST(Dependencies, ACancellationGoesDownTheWholeChain) {
    ControllerHarness s(1);
    s.run(Millis(3000));
    ASSERT_EQ(s.submit(job(1)), 201);
    ASSERT_EQ(s.submit(job(2, {job(1).id})), 201);
    ASSERT_EQ(s.submit(job(3, {job(2).id})), 201);
    EXPECT_EQ(s.phase(job(3).id), "pending");
    ASSERT_EQ(s.ask("POST", "/v1/jobs/" + job(1).id.get() + "/abort", {}).status, 200);
    s.run(Millis(1000));
    EXPECT_NE(s.state().value(kv::terminal_key(job(2).id)), "");
    EXPECT_NE(s.state().value(kv::terminal_key(job(3).id)), "");
    EXPECT_EQ(s.phase(job(3).id), "withdrawn");
    // Accepted all the same, and cancelled.
    ASSERT_EQ(s.submit(job(4, {job(1).id})), 201);
    s.run(Millis(1000));
    EXPECT_EQ(s.phase(job(4).id), "withdrawn");
}

// A poll never says `pending` once the same transaction can know better, whoever leads.
TEST(Dependencies, APollKnowsOfACancellationBeforeTheLeaderDoes) {
    ControllerHarness s(1);
    s.run(Millis(3000));
    ASSERT_EQ(s.submit(job(1)), 201);
    ASSERT_EQ(s.submit(job(2, {job(1).id})), 201);
    ASSERT_EQ(s.submit(job(3, {job(2).id})), 201);
    s.run(Millis(500));
    s.state().set_watches_stalled(true);
    s.write(kv::terminal_key(job(1).id),
            wire::Writer().map(1).text("phase").text("withdrawn").take());
    EXPECT_EQ(s.phase(job(3).id), "withdrawn");
}

// ---- what a job asks of those before it ----

// The graph alone, with jobs as the ledger holds them.
class DependencyGraphTest : public testing::Test {
  protected:
    state::Job& add(int n, wire::Priority priority, std::vector<JobId> dependencies = {},
                    Instant latest_end = Instant::max()) {
        const auto spec = job(n, std::move(dependencies));
        auto& added = jobs_[spec.id];
        added.spec = spec;
        added.priority = priority;
        added.latest_end = latest_end;
        added.tasks.resize(1);
        graph_.add(added);
        return added;
    }

    sansio::Context context_{1, sansio::LogLevel::error};
    kv::KvClient kv_client_{context_, ControllerHarness::config()};
    std::map<JobId, state::Job> jobs_;
    std::vector<JobId> cancelled_;
    state::DependencyGraph graph_{
        context_,
        kv_client_,
        jobs_,
        {[] { return true; }, [this](state::Job& job) { cancelled_.push_back(job.spec.id); }}};
};

// Also when the last one is submitted late; over both sides of a diamond, and only where it asks
// for more.
TEST_F(DependencyGraphTest, PriorityAndLatestEndReachBack) {
    const Instant due = Instant{} + Millis(600000);
    auto& first = add(1, wire::Priority::idle);
    auto& left = add(2, wire::Priority::idle, {first.spec.id});
    auto& right = add(3, wire::Priority::prod, {first.spec.id});
    auto& other = add(9, wire::Priority::idle);
    const auto& last = add(4, wire::Priority::urgent, {left.spec.id, right.spec.id}, due);
    const auto before = [](const state::Job& job) {
        return job.latest_end - from_seconds(job.spec.expected_s * 1.5) - Millis(2000);
    };
    EXPECT_EQ(left.priority, wire::Priority::urgent);
    EXPECT_EQ(left.latest_end, before(last));
    EXPECT_EQ(right.priority, wire::Priority::prod);
    EXPECT_EQ(first.priority, wire::Priority::prod);
    EXPECT_EQ(first.latest_end, before(left));
    EXPECT_EQ(other.priority, wire::Priority::idle);
    EXPECT_EQ(other.latest_end, Instant::max());
}

// Deadlines count from the submission; all else from when the last dependency was done.
TEST_F(DependencyGraphTest, AJobIsReadyWhenTheLastOneBeforeItIsDone) {
    const Instant due = Instant{} + Millis(600000);
    auto& first = add(1, wire::Priority::idle);
    auto& second = add(2, wire::Priority::idle);
    auto& last = add(3, wire::Priority::idle, {first.spec.id, second.spec.id}, due);
    context_.advance_clock(Instant{} + Millis(5000), 0);
    graph_.ended(second.spec.id, wire::JobPhase::done);
    EXPECT_TRUE(last.is_blocked());
    context_.advance_clock(Instant{} + Millis(9000), 0);
    graph_.ended(first.spec.id, wire::JobPhase::done);
    EXPECT_FALSE(last.is_blocked());
    EXPECT_EQ(last.runnable_since, Instant{} + Millis(9000));
    EXPECT_EQ(last.latest_end, due);
    EXPECT_TRUE(cancelled_.empty());
}

TEST_F(DependencyGraphTest, ACancellationReachesAllThatFollowOnceEach) {
    auto& first = add(1, wire::Priority::idle);
    auto& left = add(2, wire::Priority::idle, {first.spec.id});
    auto& right = add(3, wire::Priority::idle, {first.spec.id});
    add(4, wire::Priority::idle, {left.spec.id, right.spec.id});
    add(5, wire::Priority::idle);
    graph_.ended(first.spec.id, wire::JobPhase::cancelled);
    std::sort(cancelled_.begin(), cancelled_.end());
    cancelled_.erase(std::unique(cancelled_.begin(), cancelled_.end()), cancelled_.end());
    EXPECT_EQ(cancelled_, (std::vector{job(2).id, job(3).id, job(4).id}));
}

// Nothing is rented for it, and another job of its team may use the whole limit.
TEST(Dependencies, AJobThatWaitsHoldsNothing) {
    auto config = ControllerHarness::config();
    config.teams.push_back({"few", 0, 0, 2, 0});
    ControllerHarness s(1, config);
    s.run(Millis(3000));
    const auto never_over = accepted_elsewhere(s, 50);
    auto waiting = job(1, {never_over});
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
    play(s, {&w}, 3);
    EXPECT_EQ(s.recorded_on(other.id), std::vector<std::string>{w.report.host.get()});
    EXPECT_TRUE(s.recorded_on(waiting.id).empty());
}

TEST(Dependencies, ACancellationAnsweredDoneLetsTheRestGoOn) {
    ControllerHarness s(1);
    s.run(Millis(3000));
    const auto first = job(1);
    const auto second = job(2, {first.id});
    ASSERT_EQ(s.submit(first), 201);
    ASSERT_EQ(s.submit(second), 201);
    auto w = ready_machine(s, 0);
    play(s, {&w}, 3);
    EXPECT_TRUE(s.recorded_on(second.id).empty());
    end_task(w, first.id);
    play(s, {&w}, 2);
    const auto answer = s.ask("POST", "/v1/jobs/" + first.id.get() + "/abort", {});
    EXPECT_EQ(wire::Document::parse(answer.body)->root()["phase"].text(), "done");
    play(s, {&w}, 4);
    EXPECT_EQ(s.recorded_on(second.id), std::vector<std::string>{w.report.host.get()});
}

// ---- more jobs before one than a transaction can guard ----

// The limits that a deployment may announce: 64 preconditions, and values of 2 KiB.
config::Config small_limits() {
    auto config = ControllerHarness::config();
    config.kv_limits = config::KvLimits({200, 80, 16, 48}, config::KvLimits::Set{200, 80, 2, 16});
    return config;
}

// The sizes are enforced; the rates are not what is looked at here.
void set_small_limits(ControllerHarness& s) {
    s.state().set_limits({5000, 5000, 16, std::size_t{2} * 1024, 1000});
}

void end_elsewhere(ControllerHarness& s, const JobId& id, wire::JobPhase phase) {
    s.write(kv::terminal_key(id), encode(kv::TerminalRecord{phase, 1, 1700000000000}).packed);
}

std::vector<JobId> accepted_elsewhere(ControllerHarness& s, int first, int count) {
    std::vector<JobId> ids;
    for (int n = first; n < first + count; ++n) ids.push_back(accepted_elsewhere(s, n));
    return ids;
}

// Once the leader has had its turn to learn what others wrote.
constexpr Millis kSettled{3000};

TEST(ManyAncestors, AJobWaitsOnAllOfThem) {
    ControllerHarness s(1, small_limits());
    set_small_limits(s);
    s.run(kSettled);
    const auto many = accepted_elsewhere(s, 100, 300);
    const auto last = job(1, many);
    ASSERT_EQ(s.submit(last), 201);
    EXPECT_NE(s.state().value(kv::dependency_key(last.id, 0)), "");
    EXPECT_EQ(s.phase(last.id), "pending");
    ASSERT_EQ(s.submit(job(2)), 201);  // for which a machine is rented
    auto w = ready_machine(s, 0);
    for (std::size_t n = 1; n < many.size(); ++n) {
        end_elsewhere(s, many[n], wire::JobPhase::done);
        if (n % 50 == 0) s.run(Millis(500));
    }
    play(s, {&w}, 5);
    EXPECT_TRUE(s.recorded_on(last.id).empty());
    end_elsewhere(s, many[0], wire::JobPhase::done);
    play(s, {&w}, 5);
    EXPECT_EQ(s.recorded_on(last.id), std::vector<std::string>{w.report.host.get()});
    // Nothing of it is left on record once it is over.
    end_task(w, last.id);
    play(s, {&w}, 8);
    EXPECT_EQ(s.phase(last.id), "done");
    EXPECT_TRUE(s.state().values(kv::dependency_prefix(last.id)).empty());
    EXPECT_EQ(s.state().violations(), 0u);
}

TEST(ManyAncestors, ANewLeaderKnowsThem) {
    ControllerHarness s(1, small_limits());
    set_small_limits(s);
    s.run(kSettled);
    const auto many = accepted_elsewhere(s, 100, 150);
    const auto last = job(1, many);
    ASSERT_EQ(s.submit(last), 201);
    for (std::size_t n = 1; n < many.size(); ++n) {
        end_elsewhere(s, many[n], wire::JobPhase::done);
    }
    s.restart();
    s.run(Millis(8000));
    ASSERT_TRUE(s.leads());
    ASSERT_EQ(s.submit(job(2)), 201);  // for which a machine is rented
    auto w = ready_machine(s, 0);
    play(s, {&w}, 5);
    EXPECT_TRUE(s.recorded_on(last.id).empty());
    end_elsewhere(s, many[0], wire::JobPhase::done);
    play(s, {&w}, 5);
    EXPECT_EQ(s.recorded_on(last.id), std::vector<std::string>{w.report.host.get()});
}

// Even while the leader hears of nothing: a poll finds out by itself, in time.
TEST(ManyAncestors, APollKnowsOfACancellationWithinItsTime) {
    ControllerHarness s(1, small_limits());
    set_small_limits(s);
    s.run(kSettled);
    const auto many = accepted_elsewhere(s, 100, 200);
    ASSERT_EQ(s.submit(job(1, many)), 201);
    EXPECT_EQ(s.phase(job(1).id), "pending");
    s.state().set_watches_stalled(true);
    end_elsewhere(s, many[77], wire::JobPhase::cancelled);
    s.run(ControllerHarness::config().cancellation_deadline / 4);
    EXPECT_EQ(s.phase(job(1).id), "withdrawn");
}

// A chain submitted one after the other, longer than any record or transaction can tell of.
TEST(ManyAncestors, ALongChainIsCancelledWhole) {
    ControllerHarness s(1, small_limits());
    set_small_limits(s);
    s.run(kSettled);
    constexpr int length = 200;
    ASSERT_EQ(s.submit(job(1)), 201);
    for (int n = 2; n <= length; ++n) {
        ASSERT_EQ(s.submit(job(n, {job(n - 1).id})), 201) << n;
        s.run(Millis(200));
    }
    ASSERT_EQ(s.ask("POST", "/v1/jobs/" + job(1).id.get() + "/abort", {}).status, 200);
    s.run(ControllerHarness::config().cancellation_deadline / 2);
    for (int n = 2; n <= length; ++n) EXPECT_EQ(s.phase(job(n).id), "withdrawn") << n;
    EXPECT_EQ(s.state().violations(), 0u);
}

// As many as a request can name. Most are over; what is open still fits one transaction.
TEST(ManyAncestors, ARequestOfTheLargestSizeIsAccepted) {
    ControllerHarness s(1, small_limits());
    set_small_limits(s);
    s.run(kSettled);
    std::vector<JobId> many;
    for (int n = 0; n < 4600; ++n) {
        const JobId id(fmt::format("req-{:06}", 1000 + n * 7));
        many.push_back(id);
        n % 10 == 0 ? (void)accepted_elsewhere(s, 1000 + n * 7)
                    : end_elsewhere(s, id, wire::JobPhase::done);
        if (n % 40 == 0) s.run(Millis(500));
    }
    s.run(kSettled);
    wire::Writer w;
    wire::encode_job(w, job(1, many));
    ASSERT_LT(w.json_size(), wire::kMaxBody);
    ASSERT_GT(w.json_size(), wire::kMaxBody * 9 / 10);
    EXPECT_EQ(s.ask("POST", "/v1/jobs", w.take()).status, 201);
    s.run(kSettled);
    EXPECT_EQ(s.phase(job(1).id), "pending");
    many.emplace_back("req-999999");
    EXPECT_EQ(s.submit(job(2, many)), 422);
    EXPECT_EQ(s.state().violations(), 0u);
}

// A controller of the version before would not find the parts: until all are newer, the user is
// told to come back.
TEST(ManyAncestors, IsNotAcceptedBeforeItsFormatIsInForce) {
    auto config = small_limits();
    config.newest_record_format = config::kRangeFormat;
    ControllerHarness s(1, config);
    set_small_limits(s);
    s.run(kSettled);
    const auto many = accepted_elsewhere(s, 100, 100);
    const auto few = std::vector<JobId>(many.begin(), many.begin() + 40);
    EXPECT_EQ(s.submit(job(1, few)), 201);
    EXPECT_EQ(s.submit(job(2, many)), 503);
    EXPECT_EQ(s.state().value(kv::job_key(job(2).id)), "");
}

// An older version that has read the mark does not lead.
TEST(ManyAncestors, TheVersionBeforeStopsAtTheMark) {
    auto config = ControllerHarness::config();
    config.newest_record_format = config::kRangeFormat;
    ControllerHarness s(1, config);
    s.write(kv::kFormatMark,
            wire::Writer().map(1).text("v").count(config::kSplitDependencyFormat).take());
    s.run(Millis(8000));
    EXPECT_FALSE(s.leads());
}

TEST(DependencyParts, TellTheJobsThatTheyWereMadeOf) {
    std::mt19937_64 random(7);
    for (int round = 0; round < 50; ++round) {
        std::set<JobId> ids;
        const auto count = 1 + random() % 600;
        while (ids.size() < count) {
            const auto digits = random() % 3 == 0 ? random() % 1000000000 : random() % 100000;
            ids.emplace(fmt::format("req-{:06}", digits));
        }
        const std::vector<JobId> jobs(ids.begin(), ids.end());
        std::vector<JobId> read;
        for (const auto& part : kv::encode_dependency_parts(jobs, round % 2 == 0, 2048)) {
            EXPECT_LE(part.json_size, 2048u);
            const auto doc = wire::Document::parse(part.packed);
            const auto decoded = kv::decode_dependency_part(doc->root());
            EXPECT_EQ(decoded.direct, round % 2 == 0);
            read.insert(read.end(), decoded.jobs.begin(), decoded.jobs.end());
        }
        EXPECT_EQ(read, jobs);
    }
    for (const char* bad : {"405", "req-1,x", "req-000001,,2", "req-1,123456"}) {
        const auto packed =
            wire::Writer().map(2).text("direct").boolean(true).text("jobs").text(bad).take();
        const auto doc = wire::Document::parse(packed);
        EXPECT_THROW(kv::decode_dependency_part(doc->root()), wire::DecodeError) << bad;
    }
}

// Whole days in which most chains are too long for one transaction, as it has few preconditions.
class ManyAncestorsScenarios : public testing::TestWithParam<std::uint64_t> {};

TEST_P(ManyAncestorsScenarios, RulesHoldAndJobsEnd) {
    auto options = random_scenario_options(GetParam());
    options.pipelines = 8;
    options.fan_in = 24;
    options.limits = config::KvLimits({200, 80, 16, 48}, config::KvLimits::Set{200, 80, 2, 5});
    SimulatedCluster world(options);
    run_random_scenario(world, GetParam());
    expect_completed(world);
}
INSTANTIATE_TEST_SUITE_P(Seeds, ManyAncestorsScenarios, testing::Range<std::uint64_t>(9000, 9012));

class DependencyScenarios : public testing::TestWithParam<std::uint64_t> {};

TEST_P(DependencyScenarios, RulesHoldAndJobsEnd) {
    auto options = random_scenario_options(GetParam());
    options.pipelines = 12;
    SimulatedCluster world(options);
    run_random_scenario(world, GetParam());
    expect_completed(world);
}
INSTANTIATE_TEST_SUITE_P(Seeds, DependencyScenarios, testing::Range<std::uint64_t>(8000, 8016));

}  // namespace
}  // namespace dunebridge::sim
