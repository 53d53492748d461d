/// \file
/// The dependency graph alone: what a job asks of those before it, when it becomes runnable, and
/// which jobs a cancellation reaches.
#include "state/dependency_graph.hpp"

#include <gtest/gtest.h>

#include <algorithm>

#include "dependency_fixtures.hpp"

namespace dunebridge::sim {
namespace {

// The graph alone, with jobs as the cluster state holds them.
class DependencyGraphTest : public testing::Test {
  protected:
    state::Job& add(int n, wire::Priority priority, std::vector<JobId> dependencies = {},
                    Instant latest_end = Instant::max()) {
        const auto spec = dependent_job(n, std::move(dependencies));
        auto& added = jobs_[spec.id];
        added.spec = spec;
        added.dependencies.effective_priority = priority;
        added.dependencies.latest_end = latest_end;
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
        return job.dependencies.latest_end - from_seconds(job.spec.expected_run_time_s * 1.5) -
               Millis(2000);
    };
    EXPECT_EQ(left.dependencies.effective_priority, wire::Priority::urgent);
    EXPECT_EQ(left.dependencies.latest_end, before(last));
    EXPECT_EQ(right.dependencies.effective_priority, wire::Priority::prod);
    EXPECT_EQ(first.dependencies.effective_priority, wire::Priority::prod);
    EXPECT_EQ(first.dependencies.latest_end, before(left));
    EXPECT_EQ(other.dependencies.effective_priority, wire::Priority::idle);
    EXPECT_EQ(other.dependencies.latest_end, Instant::max());
}

// Deadlines count from the submission; all else from when the last dependency was done.
TEST_F(DependencyGraphTest, AJobIsReadyWhenTheLastOneBeforeItIsDone) {
    const Instant due = Instant{} + Millis(600000);
    auto& first = add(1, wire::Priority::idle);
    auto& second = add(2, wire::Priority::idle);
    auto& last = add(3, wire::Priority::idle, {first.spec.id, second.spec.id}, due);
    context_.advance_clock(Instant{} + Millis(5000), 0);
    graph_.handle_job_end(second.spec.id, wire::JobPhase::done);
    EXPECT_TRUE(last.is_blocked());
    context_.advance_clock(Instant{} + Millis(9000), 0);
    graph_.handle_job_end(first.spec.id, wire::JobPhase::done);
    EXPECT_FALSE(last.is_blocked());
    EXPECT_EQ(last.dependencies.runnable_since, Instant{} + Millis(9000));
    EXPECT_EQ(last.dependencies.latest_end, due);
    EXPECT_TRUE(cancelled_.empty());
}

TEST_F(DependencyGraphTest, ACancellationReachesAllThatFollowOnceEach) {
    auto& first = add(1, wire::Priority::idle);
    auto& left = add(2, wire::Priority::idle, {first.spec.id});
    auto& right = add(3, wire::Priority::idle, {first.spec.id});
    add(4, wire::Priority::idle, {left.spec.id, right.spec.id});
    add(5, wire::Priority::idle);
    graph_.handle_job_end(first.spec.id, wire::JobPhase::cancelled);
    std::sort(cancelled_.begin(), cancelled_.end());
    cancelled_.erase(std::unique(cancelled_.begin(), cancelled_.end()), cancelled_.end());
    EXPECT_EQ(cancelled_, (std::vector{job(2).id, job(3).id, job(4).id}));
}

}  // namespace
}  // namespace dunebridge::sim
