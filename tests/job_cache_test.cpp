/// \file
/// Requests about jobs whose entries leave the cache of job states while the key-value store's
/// answer is under way.
#include <gtest/gtest.h>

#include "sim/controller_harness.hpp"

namespace dunebridge::sim {
namespace {

constexpr Millis kAnswerUnderWay{50};  // enough for a request to reach the key-value store

// Transactions that only compare: they confirm what users are told.
bool is_confirmation(const sansio::HttpCall& call) {
    return call.target == "/multi" &&
           wire::Document::parse(call.body)->root()["writes"].size() == 0;
}

std::string encoded(const wire::JobSpec& spec) {
    wire::Writer writer;
    wire::encode_job(writer, spec);
    return writer.take();
}

// A leader whose cache holds two jobs.
class SmallCacheHarness : public ControllerHarness {
  public:
    SmallCacheHarness() : ControllerHarness(1, small_cache()) { run(Millis(3000)); }

    /// Sends a request about job 1, lets the cache evict the job while the confirmation is under
    /// way, and returns the answer.
    sansio::HttpResponse answer_after_eviction(const std::string& method, const std::string& target,
                                               const std::string& body) {
        hold_answers(is_confirmation);
        const auto id = begin_request(method, target, body);
        run(kAnswerUnderWay);
        EXPECT_EQ(submit(job(2)), 201);
        EXPECT_EQ(submit(job(3)), 201);
        release_answers();
        return wait_for_answer(id);
    }

  private:
    static config::Config small_cache() {
        auto config = ControllerHarness::config();
        config.job_cache.max_jobs = 2;
        return config;
    }
};

// Guards against 404 for an accepted job: the entry was evicted between the transaction that
// confirmed the job and its answer.
TEST(JobCacheEviction, APollInFlightIsNotAnsweredThatTheJobIsUnknown) {
    SmallCacheHarness s;
    ASSERT_EQ(s.submit(job(1)), 201);
    const auto answer = s.answer_after_eviction("GET", "/v1/jobs/" + job(1).id.get(), {});
    EXPECT_EQ(answer.status, 200);
    EXPECT_EQ(s.phase(job(1).id), "pending");
}

// Guards against 422 for the repeated submission of an accepted job, for the same reason.
TEST(JobCacheEviction, ARepeatedSubmissionInFlightIsNotRefused) {
    SmallCacheHarness s;
    ASSERT_EQ(s.submit(job(1)), 201);
    auto fits_no_machine = job(1);
    fits_no_machine.cores = 1000;
    const auto answer = s.answer_after_eviction("POST", "/v1/jobs", encoded(fits_no_machine));
    EXPECT_EQ(answer.status, 200);
}

// A job that nobody has submitted stays unknown, whatever the cache evicts meanwhile.
TEST(JobCacheEviction, AnUnknownJobStaysUnknown) {
    SmallCacheHarness s;
    ASSERT_EQ(s.request("GET", "/v1/jobs/" + job(1).id.get(), {}).status, 404);
    const auto answer = s.answer_after_eviction("GET", "/v1/jobs/" + job(1).id.get(), {});
    EXPECT_EQ(answer.status, 404);
}

// A job that is accepted while a poll of it is in flight is not called unknown after that.
TEST(JobCacheEviction, AJobAcceptedDuringAPollIsOpen) {
    SmallCacheHarness s;
    s.hold_answers(is_confirmation);
    const auto id = s.begin_request("GET", "/v1/jobs/" + job(1).id.get(), {});
    s.run(kAnswerUnderWay);
    ASSERT_EQ(s.submit(job(1)), 201);
    s.release_answers();
    EXPECT_EQ(s.wait_for_answer(id).status, 200);
}

// Guards against "pending" as the answer to a cancellation: the job was accepted while the
// confirmation that it is unknown was under way.
TEST(JobCacheEviction, ACancellationOfAJobAcceptedMeanwhileEndsIt) {
    SmallCacheHarness s;
    s.hold_answers(is_confirmation);
    const auto id = s.begin_request("POST", "/v1/jobs/" + job(1).id.get() + "/abort", {});
    s.run(kAnswerUnderWay);
    ASSERT_EQ(s.submit(job(1)), 201);
    s.release_answers();
    const auto answer = s.wait_for_answer(id);
    ASSERT_EQ(answer.status, 200);
    const auto status = wire::Document::parse(answer.body);
    EXPECT_EQ(status->root()["phase"].need_text("phase"), "withdrawn");
}

}  // namespace
}  // namespace dunebridge::sim
