// One controller against scripted workers: what it must not do as a leader that may be deposed.
#include <gtest/gtest.h>

#include "controller_fixtures.hpp"
#include "sim/controller_harness.hpp"

namespace dunebridge::sim {
namespace {

using wire::CommandKind;
using wire::ExitReason;
using wire::TaskPhase;
using Hosts = std::vector<std::string>;

// Malformed messages are answered and dropped, and do not fill the log.
TEST(ControllerTest, LogLinesOfOneKindAreRateLimited) {
    controller::Controller core(ControllerHarness::config(), 1, sansio::LogLevel::info);
    std::vector<controller::Command> batch;
    for (std::uint64_t i = 1; i <= 200; ++i) {
        batch.push_back(controller::Request{RequestId(i), controller::Listener::back, "POST",
                                            "/hello", "\xc1", false});
    }
    const auto effects = core.apply(std::move(batch), Instant(Millis(5000)), 1700000000000);
    EXPECT_EQ(effects.responses.size(), 200u);
    EXPECT_EQ(effects.responses.front().status, 400);
    EXPECT_LE(effects.logs.size(), 10u);
    EXPECT_GE(effects.logs.size(), 1u);
}

// A leader that stalled for longer than its lease may have been replaced: it answers none of
// what waited for it as one entitled to.
TEST(ControllerTest, NoRequestIsServedAsLeaderAfterAnEventLoopStall) {
    ControllerHarness s(1);
    auto w = machine_for(s, job(1));
    ASSERT_EQ(s.send_heartbeat(w.next_heartbeat()).first, 200);
    s.stall_process(Millis(9000));
    EXPECT_EQ(s.send_heartbeat(w.next_heartbeat()).first, 503);
    s.run(Millis(3000));
    EXPECT_TRUE(s.leads());
    EXPECT_EQ(s.send_heartbeat(w.next_heartbeat()).first, 200);
}

// A cancellation that the leader does not know of: its next placement is refused by the state
// service, and nothing of the job starts.
TEST(ControllerTest, NothingStartsOnceTheTerminalPhaseIsOnRecord) {
    ControllerHarness s(1);
    s.run(Millis(3000));
    auto first = job(1);
    auto second = job(2);
    first.cores = second.cores = 16;  // the whole machine
    ASSERT_EQ(s.submit(first), 201);
    auto w = ready_machine(s, 0);
    w.heartbeat.tasks.push_back(
        running_status(s.commands_in_flight().at(0).commands.commands.at(0)));
    s.answer(s.commands_in_flight()[0], 200, w.next_heartbeat());
    ASSERT_EQ(s.submit(second), 201);
    s.run(Millis(500));
    s.state().set_watches_stalled(true);
    // By another node, of which this one learns nothing.
    const auto end = wire::Writer().map(1).text("phase").text("withdrawn").take();
    s.write(kv::terminal_key(second.id), end);
    w.heartbeat.tasks[0].phase = TaskPhase::exited;
    w.heartbeat.tasks[0].reason = ExitReason::done;
    s.send_heartbeat(w.next_heartbeat());
    s.run(Millis(500));
    for (const auto& d : s.commands_in_flight()) {
        EXPECT_EQ(find(d.commands, CommandKind::start, {second.id, 0}), nullptr);
    }
    EXPECT_EQ(find(s.send_heartbeat(w.next_heartbeat()).second, CommandKind::start, {second.id, 0}),
              nullptr);
    EXPECT_EQ(s.recorded_hosts(second.id), Hosts{});
}

// A silent machine that was given up, and not yet deleted, in an earlier term of the same process
// may be well again: it is judged anew.
TEST(ControllerTest, ANewTermJudgesMachinesAnew) {
    ControllerHarness s(1);
    auto w = machine_for(s, job(1));
    const auto host = w.heartbeat.host;
    s.cloud().set_outage(true);
    s.run(Millis(40000));
    ASSERT_TRUE(s.logged("event=scale_in host=" + host.get()));
    ASSERT_FALSE(s.scaled_in(host));
    s.stall_process(Millis(9000));
    s.run(Millis(3000));
    ASSERT_TRUE(s.leads());
    w.heartbeat.order.agent_epoch = 2;
    acknowledge_token(s, w);
    s.cloud().set_outage(false);
    for (int i = 0; i < 10; ++i) {
        EXPECT_EQ(s.send_heartbeat(w.next_heartbeat()).first, 200);
        s.run(Millis(1000));
    }
    EXPECT_FALSE(s.scaled_in(host));
}

// Another node leads, and this one does not know it: nothing that it decides is recorded.
TEST(ControllerTest, ADeposedLeaderRecordsNothing) {
    ControllerHarness s(1);
    const auto first = job(1);
    auto w = machine_for(s, first);
    ASSERT_TRUE(s.leads());
    s.state().set_watches_stalled(true);
    wire::Writer lead;
    lead.map(3).text("node").text("node-9").text("incarnation").text("x").text("term").count(9);
    s.write("lead", lead.take());
    w.heartbeat.tasks.push_back(
        running_status(s.commands_in_flight().at(0).commands.commands.at(0)));
    w.heartbeat.tasks.back().phase = TaskPhase::exited;
    w.heartbeat.tasks.back().reason = ExitReason::done;
    s.send_heartbeat(w.next_heartbeat());
    s.run(Millis(3000));
    EXPECT_EQ(s.recorded_hosts(first.id), Hosts{w.heartbeat.host.get()});
    EXPECT_EQ(s.state().value(kv::terminal_key(first.id)), "");
}

}  // namespace
}  // namespace dunebridge::sim
