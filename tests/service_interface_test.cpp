/// \file
/// One controller as its users see it: very large jobs, cancellations on silent machines, and polls
/// in masses beside workers' heartbeats.
#include <gtest/gtest.h>

#include "sim/controller_harness.hpp"

namespace dunebridge::sim {
namespace {

using Hosts = std::vector<std::string>;

TEST(ServiceInterfaceTest, AJobOfAHundredThousandTasksIsAcceptedAndStaysKnown) {
    ControllerHarness s(1);
    s.run(Millis(3000));
    auto j = job(1, 100000);
    j.cores = j.ram_gb = 0.005;  // some thousands at once, in many records
    ASSERT_EQ(s.submit(j), 201);
    auto w = ready_machine(s, 0);
    EXPECT_EQ(s.phase(j.id), "pending");
    s.restart();
    s.run(Millis(5000));
    ASSERT_TRUE(s.leads());
    EXPECT_EQ(s.submit(j), 200);
    acknowledge_token(s, w);
    EXPECT_EQ(s.phase(j.id), "pending");
    EXPECT_FALSE(s.recorded_hosts(j.id).empty());
    EXPECT_EQ(s.request("POST", "/v1/jobs/" + j.id.get() + "/abort", {}).status, 200);
    EXPECT_EQ(s.phase(j.id), "withdrawn");
    EXPECT_EQ(s.state().violations(), 0u);
}

// A machine that says nothing may run a cancelled job's tasks for as long as its lease is: where
// that is longer than `cancel_s`, only its deletion ends them in time.
TEST(ServiceInterfaceTest, ASilentMachineWithCancelledTasksIsDeletedInTime) {
    auto config = ControllerHarness::config();
    config.cancellation_deadline = Millis(20000);
    config.worker_lease = Millis(100000);
    ControllerHarness s(1, config);
    s.run(Millis(3000));
    const auto cancelled = job(1);
    ASSERT_EQ(s.submit(cancelled), 201);
    auto w = ready_machine(s, 0);
    run_workers(s, {&w}, 3);
    ASSERT_EQ(s.recorded_hosts(cancelled.id), Hosts{w.heartbeat.host.get()});
    ASSERT_EQ(s.request("POST", "/v1/jobs/" + cancelled.id.get() + "/abort", {}).status, 200);
    s.run(config.cancellation_deadline);
    EXPECT_TRUE(s.scaled_in(w.heartbeat.host));
}

// A report that came after a thousand polls in the same moment is answered before them: users who
// ask in masses cost no worker its lease, and those that cannot be taken are told when to come
// back.
TEST(ServiceInterfaceTest, ReportsAreTakenBeforeMassesOfPolls) {
    controller::Controller core(ControllerHarness::config(), 1, sansio::LogLevel::error);
    std::vector<controller::Command> batch;
    constexpr std::uint64_t polls = 1000;
    for (std::uint64_t i = 1; i <= polls; ++i) {
        batch.push_back(controller::Request{RequestId(i),
                                            controller::Listener::front,
                                            "GET",
                                            fmt::format("/v1/jobs/req-{:06}", i),
                                            {},
                                            false});
    }
    batch.push_back(controller::Request{RequestId(polls + 1), controller::Listener::front, "POST",
                                        "/checkin", HarnessWorker().next_heartbeat(), false});
    const auto effects = core.apply(std::move(batch), Instant(Millis(5000)), 1700000000000);
    ASSERT_FALSE(effects.responses.empty());
    EXPECT_EQ(effects.responses.front().id, RequestId(polls + 1));
    std::set<std::chrono::seconds> returns;
    for (const auto& answer : effects.responses) {
        if (answer.id == RequestId(polls + 1)) continue;
        EXPECT_EQ(answer.status, 503);
        returns.insert(answer.retry_after);
    }
    // At once, for those that no queue can hold, and not all for the same moment.
    EXPECT_GE(effects.responses.size(), polls / 2);
    EXPECT_GT(returns.size(), 1u);
}

}  // namespace
}  // namespace dunebridge::sim
