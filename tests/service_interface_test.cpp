// One controller against scripted workers: what waits, what machines are kept for, and records.
#include <gtest/gtest.h>

#include "sim/controller_harness.hpp"

namespace dunebridge::sim {
namespace {

using Hosts = std::vector<std::string>;

TEST(ControllerTest, AJobOfAHundredThousandTasksIsAcceptedAndStaysKnown) {
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
    show_token(s, w);
    EXPECT_EQ(s.phase(j.id), "pending");
    EXPECT_FALSE(s.recorded_on(j.id).empty());
    EXPECT_EQ(s.ask("POST", "/v1/jobs/" + j.id.get() + "/abort", {}).status, 200);
    EXPECT_EQ(s.phase(j.id), "withdrawn");
    EXPECT_EQ(s.state().violations(), 0u);
}

// docs/incidents/0009: a machine kept for an aged job, whose team is at its limit by then, is open
// to others.
TEST(ControllerTest, NothingIsKeptForAJobWhoseTeamIsAtItsLimit) {
    auto config = ControllerHarness::config();
    config.teams.push_back({"few", 0, 0, 4, 0});
    ControllerHarness s(2, config);
    s.run(Millis(3000));
    auto full = job(1);
    full.cores = 16;
    full.spot_allowed = false;
    ASSERT_EQ(s.submit(full), 201);
    auto ordinary = ready_machine(s, 0);
    play(s, {&ordinary}, 3);
    ASSERT_EQ(s.submit(job(2)), 201);
    auto spot = s.machine(1);
    ASSERT_TRUE(spot.report.spot);
    show_token(s, spot);
    auto aged = job(3);
    aged.team = "few";
    aged.cores = 4;
    aged.spot_allowed = false;
    ASSERT_EQ(s.submit(aged), 201);
    play(s, {&ordinary, &spot}, 95);
    auto other = job(4);
    other.team = "few";
    ASSERT_EQ(s.submit(other), 201);
    play(s, {&ordinary, &spot}, 3);
    ASSERT_EQ(s.recorded_on(other.id), Hosts{spot.report.host.get()});
    end_task(ordinary, full.id);
    auto waiting = job(5);
    waiting.spot_allowed = false;
    ASSERT_EQ(s.submit(waiting), 201);
    play(s, {&ordinary, &spot}, 5);
    EXPECT_EQ(s.recorded_on(waiting.id), Hosts{ordinary.report.host.get()});
    EXPECT_EQ(s.recorded_on(aged.id), Hosts{});
}

// A machine that says nothing may run a cancelled job's tasks for as long as its lease is: where
// that is longer than `cancel_s`, only its deletion ends them in time.
TEST(ControllerTest, ASilentMachineWithCancelledTasksIsDeletedInTime) {
    auto config = ControllerHarness::config();
    config.cancellation_deadline = Millis(20000);
    config.worker_lease = Millis(100000);
    ControllerHarness s(1, config);
    s.run(Millis(3000));
    const auto cancelled = job(1);
    ASSERT_EQ(s.submit(cancelled), 201);
    auto w = ready_machine(s, 0);
    play(s, {&w}, 3);
    ASSERT_EQ(s.recorded_on(cancelled.id), Hosts{w.report.host.get()});
    ASSERT_EQ(s.ask("POST", "/v1/jobs/" + cancelled.id.get() + "/abort", {}).status, 200);
    s.run(config.cancellation_deadline);
    EXPECT_TRUE(s.returned(w.report.host));
}

// A machine is not kept for so long that others which would fit wait for 90 s.
TEST(ControllerTest, AMachineIsKeptForALimitedTime) {
    ControllerHarness s(1);
    s.run(Millis(3000));
    auto large = job(1);
    large.cores = 14;
    auto small = job(2);
    small.cores = 2;
    ASSERT_EQ(s.submit(large), 201);
    ASSERT_EQ(s.submit(small), 201);
    auto w = ready_machine(s, 0);
    play(s, {&w}, 3);
    auto aged = job(3);
    aged.cores = 4;
    ASSERT_EQ(s.submit(aged), 201);
    play(s, {&w}, 95);
    end_task(w, small.id);
    auto fits = job(4);
    ASSERT_EQ(s.submit(fits), 201);
    play(s, {&w}, 5);
    EXPECT_EQ(s.recorded_on(fits.id), Hosts{});  // kept for the aged job
    play(s, {&w}, 70);
    EXPECT_EQ(s.recorded_on(fits.id), Hosts{w.report.host.get()});
}

// A record that this version cannot read must not be passed over: the job in it would be lost.
TEST(ControllerTest, ARecordOfAnUnknownVersionStopsTheLoad) {
    ControllerHarness s(1);
    s.run(Millis(3000));
    const auto j = job(1);
    ASSERT_EQ(s.submit(j), 201);
    s.state().handle("POST", "/multi",
                     wire::encode_transaction(
                         {}, {{"prog/" + j.id.get() + "/0",
                               wire::Writer().map(1).text("v").count(99).take(), std::nullopt}}),
                     [](const sansio::HttpResult& r) { ASSERT_EQ(r.status, 200); });
    s.restart();
    s.run(Millis(6000));
    EXPECT_FALSE(s.leads());
    EXPECT_TRUE(s.logged("event=invalid_record key=prog/req-000001/0"));
    EXPECT_EQ(s.phase(j.id), "pending");
}

// A report that came after a thousand polls in the same moment is answered before them: users who
// ask in masses cost no worker its lease, and those that cannot be taken are told when to come
// back.
TEST(ControllerTest, ReportsAreTakenBeforeMassesOfPolls) {
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
                                        "/checkin", HarnessWorker().next(), false});
    const auto effects = core.apply(std::move(batch), Instant(Millis(5000)), 1700000000000);
    ASSERT_FALSE(effects.answers.empty());
    EXPECT_EQ(effects.answers.front().id, RequestId(polls + 1));
    std::set<int> returns;
    for (const auto& answer : effects.answers) {
        if (answer.id == RequestId(polls + 1)) continue;
        EXPECT_EQ(answer.status, 503);
        returns.insert(answer.retry_after_s);
    }
    // At once, for those that no queue can hold, and not all for the same moment.
    EXPECT_GE(effects.answers.size(), polls / 2);
    EXPECT_GT(returns.size(), 1u);
}

// A service over its rate refuses some of the reads with which a term begins. Each refusal once
// began a new term, and with it the whole load, which asked for as much again: 76 terms on one day.
TEST(ControllerTest, ALoadGoesOnAfterReadsWereRefused) {
    ControllerHarness s(1);
    s.run(Millis(3000));
    for (int n = 1; n <= 120; ++n) ASSERT_EQ(s.submit(job(n)), 201);  // several pages
    s.restart();
    FakeKvStore::Limits limits;
    limits.rps = 6;
    s.state().set_limits(limits);
    const auto refused = s.state().refusals();
    s.run(Millis(40000));
    EXPECT_TRUE(s.leads());
    EXPECT_GT(s.state().refusals(), refused + 2);
    EXPECT_EQ(s.logged_times("event=elected"), 2u);  // once before the restart
}

}  // namespace
}  // namespace dunebridge::sim
