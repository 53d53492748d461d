/// \file
/// Jobs with more ancestors than one transaction can guard, whose dependencies are kept in records
/// of their own.
#include <gtest/gtest.h>

#include <random>
#include <set>

#include "config/record_format.hpp"
#include "dependency_fixtures.hpp"

namespace dunebridge::sim {
namespace {

// The limits that a deployment may announce: 64 preconditions, and values of 2 KiB.
config::Config small_limits() {
    auto config = ControllerHarness::config();
    config.kv_limits = config::KvLimits({200, 80, 16, 48}, config::KvLimits::Set{200, 80, 2, 16});
    return config;
}

// Once the leader has had its turn to learn what others wrote.
constexpr Millis kSettled{3000};

// A started controller whose key-value store enforces those sizes; the rates are not what is tested
// here.
class SmallLimitsHarness : public ControllerHarness {
  public:
    explicit SmallLimitsHarness(const config::Config& config = small_limits())
        : ControllerHarness(1, config) {
        state().set_limits({5000, 5000, 16, std::size_t{2} * 1024, 1000});
        run(kSettled);
    }
};

TEST(ManyAncestors, AJobWaitsOnAllOfThem) {
    SmallLimitsHarness s;
    const auto many = accepted_elsewhere(s, 100, 300);
    const auto last = dependent_job(1, many);
    ASSERT_EQ(s.submit(last), 201);
    EXPECT_NE(s.state().value(kv::dependency_key(last.id, 0)), "");
    EXPECT_EQ(s.phase(last.id), "pending");
    ASSERT_EQ(s.submit(job(2)), 201);  // for which a machine is rented
    auto w = ready_machine(s, 0);
    for (std::size_t n = 1; n < many.size(); ++n) {
        end_elsewhere(s, many[n], wire::JobPhase::done);
        if (n % 50 == 0) s.run(Millis(500));
    }
    run_workers(s, {&w}, 5);
    EXPECT_TRUE(s.recorded_hosts(last.id).empty());
    end_elsewhere(s, many[0], wire::JobPhase::done);
    run_workers(s, {&w}, 5);
    EXPECT_EQ(s.recorded_hosts(last.id), std::vector<std::string>{w.heartbeat.host.get()});
    // Nothing of it is left on record once it is over.
    finish_task(w, last.id);
    run_workers(s, {&w}, 8);
    EXPECT_EQ(s.phase(last.id), "done");
    EXPECT_TRUE(s.state().values(kv::dependency_prefix(last.id)).empty());
    EXPECT_EQ(s.state().violations(), 0u);
}

TEST(ManyAncestors, ANewLeaderKnowsThem) {
    SmallLimitsHarness s;
    const auto many = accepted_elsewhere(s, 100, 150);
    const auto last = dependent_job(1, many);
    ASSERT_EQ(s.submit(last), 201);
    for (std::size_t n = 1; n < many.size(); ++n) {
        end_elsewhere(s, many[n], wire::JobPhase::done);
    }
    s.restart();
    s.run(Millis(8000));
    ASSERT_TRUE(s.leads());
    ASSERT_EQ(s.submit(job(2)), 201);  // for which a machine is rented
    auto w = ready_machine(s, 0);
    run_workers(s, {&w}, 5);
    EXPECT_TRUE(s.recorded_hosts(last.id).empty());
    end_elsewhere(s, many[0], wire::JobPhase::done);
    run_workers(s, {&w}, 5);
    EXPECT_EQ(s.recorded_hosts(last.id), std::vector<std::string>{w.heartbeat.host.get()});
}

// Even while the leader hears of nothing: a poll finds out by itself, in time.
TEST(ManyAncestors, APollKnowsOfACancellationWithinItsTime) {
    SmallLimitsHarness s;
    const auto many = accepted_elsewhere(s, 100, 200);
    ASSERT_EQ(s.submit(dependent_job(1, many)), 201);
    EXPECT_EQ(s.phase(job(1).id), "pending");
    s.state().set_watches_stalled(true);
    end_elsewhere(s, many[77], wire::JobPhase::cancelled);
    s.run(ControllerHarness::config().cancellation_deadline / 4);
    EXPECT_EQ(s.phase(job(1).id), "withdrawn");
}

// Guards against "pending" for a job with a cancelled ancestor: a poll that arrived between the
// reads of the job's record and of its parts was confirmed without the ancestors.
TEST(ManyAncestors, APollWhileThePartsAreReadKnowsOfACancellation) {
    auto config = small_limits();
    config.job_cache.max_jobs = 2;
    SmallLimitsHarness s(config);
    const auto many = accepted_elsewhere(s, 100, 200);
    const auto last = dependent_job(1, many);
    ASSERT_EQ(s.submit(last), 201);
    ASSERT_EQ(s.submit(job(2)), 201);
    ASSERT_EQ(s.submit(job(3)), 201);  // evicts the first
    s.state().set_watches_stalled(true);
    end_elsewhere(s, many[77], wire::JobPhase::cancelled);
    s.run(config.cancellation_deadline + Millis(1000));
    s.hold_answers([](const sansio::HttpCall& call) {
        return call.target.starts_with("/kv?") && call.target.find("dep/") != std::string::npos;
    });
    const auto first = s.begin_request("GET", "/v1/jobs/" + last.id.get(), {});
    s.run(Millis(50));
    const auto second = s.begin_request("GET", "/v1/jobs/" + last.id.get(), {});
    s.run(Millis(50));
    s.release_answers();
    for (const auto poll : {first, second}) {
        const auto answer = s.wait_for_answer(poll);
        ASSERT_EQ(answer.status, 200);
        const auto status = wire::Document::parse(answer.body);
        EXPECT_EQ(status->root()["phase"].need_text("phase"), "withdrawn");
    }
}

// A chain submitted one after the other, longer than any record or transaction can tell of.
TEST(ManyAncestors, ALongChainIsCancelledWhole) {
    SmallLimitsHarness s;
    constexpr int length = 200;
    ASSERT_EQ(s.submit(job(1)), 201);
    for (int n = 2; n <= length; ++n) {
        ASSERT_EQ(s.submit(dependent_job(n, {job(n - 1).id})), 201) << n;
        s.run(Millis(200));
    }
    ASSERT_EQ(s.request("POST", "/v1/jobs/" + job(1).id.get() + "/abort", {}).status, 200);
    s.run(ControllerHarness::config().cancellation_deadline / 2);
    for (int n = 2; n <= length; ++n) EXPECT_EQ(s.phase(job(n).id), "withdrawn") << n;
    EXPECT_EQ(s.state().violations(), 0u);
}

// As many as a request can name. Most are over; what is open still fits one transaction.
TEST(ManyAncestors, ARequestOfTheLargestSizeIsAccepted) {
    SmallLimitsHarness s;
    std::vector<JobId> many;
    for (int n = 0; n < 4600; ++n) {
        const JobId id(fmt::format("req-{:06}", 1000 + n * 7));
        many.push_back(id);
        if (n % 10 == 0) {
            accepted_elsewhere(s, 1000 + n * 7);
        } else {
            end_elsewhere(s, id, wire::JobPhase::done);
        }
        if (n % 40 == 0) s.run(Millis(500));
    }
    s.run(kSettled);
    wire::Writer w;
    wire::encode_job(w, dependent_job(1, many));
    ASSERT_LT(w.json_size(), wire::kMaxBodyBytes);
    ASSERT_GT(w.json_size(), wire::kMaxBodyBytes * 9 / 10);
    EXPECT_EQ(s.request("POST", "/v1/jobs", w.take()).status, 201);
    s.run(kSettled);
    EXPECT_EQ(s.phase(job(1).id), "pending");
    many.emplace_back("req-999999");
    EXPECT_EQ(s.submit(dependent_job(2, many)), 422);
    EXPECT_EQ(s.state().violations(), 0u);
}

// A controller of the version before would not find the parts: until all are newer, the user is
// told to come back.
TEST(ManyAncestors, IsNotAcceptedBeforeItsFormatIsInForce) {
    auto config = small_limits();
    config.newest_record_format = config::kRangeFormat;
    SmallLimitsHarness s(config);
    const auto many = accepted_elsewhere(s, 100, 100);
    const auto few = std::vector<JobId>(many.begin(), many.begin() + 40);
    EXPECT_EQ(s.submit(dependent_job(1, few)), 201);
    EXPECT_EQ(s.submit(dependent_job(2, many)), 503);
    EXPECT_EQ(s.state().value(kv::job_key(job(2).id)), "");
}

// An older version that has read the mark does not lead.
TEST(ManyAncestors, TheVersionBeforeStopsAtTheMark) {
    auto config = ControllerHarness::config();
    config.newest_record_format = config::kRangeFormat;
    ControllerHarness s(1, config);
    s.write(kv::kFormatMarkerKey,
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

}  // namespace
}  // namespace dunebridge::sim
