// One controller against scripted workers: what must not happen between two messages.
#include <gtest/gtest.h>

#include <algorithm>

#include "sim/controller_harness.hpp"

namespace dunebridge::sim {
namespace {

using wire::CommandKind;
using wire::ExitReason;
using wire::TaskPhase;
using Hosts = std::vector<std::string>;

const wire::TaskCommand* find(const wire::CommandBatch& commands, CommandKind verb,
                              const TaskRef& task) {
    for (const auto& o : commands.commands) {
        if (o.kind == verb && o.task == task) return &o;
    }
    return nullptr;
}

// A controller that leads, and its first machine, for which the job waits.
HarnessWorker machine_for(ControllerHarness& s, const wire::JobSpec& job) {
    s.run(Millis(3000));
    EXPECT_EQ(s.submit(job), 201);
    auto w = ready_machine(s, 0);
    return w;
}

// Runs on while the worker reports every second and no answer reaches it.
void report_unanswered(ControllerHarness& s, HarnessWorker& w, int seconds) {
    for (int i = 0; i < seconds && !s.scaled_in(w.heartbeat.host); ++i) {
        s.send_heartbeat(w.next_heartbeat());
        s.run(Millis(1000));
    }
}

// The start of the second job's task is on its way twice: in a check-in's answer, and in a direct
// command that has no answer yet. The first job's task runs.
struct StartSentTwice {
    HarnessWorker worker;
    wire::TaskCommand start;
    ControllerHarness::DirectCommand direct;
};
StartSentTwice send_start_twice(ControllerHarness& s, const wire::JobSpec& first,
                                const wire::JobSpec& second) {
    StartSentTwice sent;
    sent.worker = machine_for(s, first);
    EXPECT_EQ(s.commands_in_flight().size(), 1u);
    EXPECT_EQ(s.submit(second), 201);
    s.run(Millis(250));
    const auto answer = s.send_heartbeat(sent.worker.next_heartbeat()).second;
    const auto* start = find(answer, CommandKind::start, {second.id, 0});
    EXPECT_NE(start, nullptr);
    if (start) sent.start = *start;
    sent.worker.heartbeat.tasks.push_back(
        running_status(s.commands_in_flight().at(0).commands.commands.at(0)));
    s.answer(s.commands_in_flight()[0], 200, sent.worker.next_heartbeat());
    s.run(Millis(60));
    EXPECT_EQ(s.commands_in_flight().size(), 1u);
    sent.direct = s.commands_in_flight().at(0);
    EXPECT_NE(find(sent.direct.commands, CommandKind::start, {second.id, 0}), nullptr);
    return sent;
}

// While a direct command is under way, clearing the attempt would let it start the task once more.
TEST(ControllerTest, NothingIsClearedWhileADirectCommandIsUnderWay) {
    ControllerHarness s(1);
    const auto first = job(1);
    const auto second = job(2);
    const TaskRef task{second.id, 0};
    auto [w, start, under_way] = send_start_twice(s, first, second);
    const auto attempt = start.attempt;
    w.heartbeat.tasks.push_back(running_status({CommandKind::start, task, attempt}));
    w.heartbeat.tasks.back().phase = TaskPhase::exited;
    w.heartbeat.tasks.back().reason = ExitReason::stopped;
    s.send_heartbeat(w.next_heartbeat());
    s.run(Millis(400));  // the task is placed anew, and that is on record
    ASSERT_EQ(s.commands_in_flight().size(), 1u);
    const auto reply = s.send_heartbeat(w.next_heartbeat()).second;
    EXPECT_EQ(find(reply, CommandKind::clear, task), nullptr);
    w.heartbeat.token = reply.token;
    s.answer(under_way, 200, w.next_heartbeat());
    s.run(Millis(100));
    ASSERT_EQ(s.commands_in_flight().size(), 1u);
    EXPECT_NE(find(s.commands_in_flight()[0].commands, CommandKind::clear, task), nullptr);
}

// A direct command that was carried out may come once more, much later. Whatever clears its attempt
// carries a token that refuses it.
TEST(ControllerTest, ClearingRefusesRepeatsOfTheCommandThatStarted) {
    ControllerHarness s(1);
    auto w = machine_for(s, job(1));
    ASSERT_EQ(s.commands_in_flight().size(), 1u);
    const auto direct = s.commands_in_flight()[0];
    w.heartbeat.tasks.push_back(running_status(direct.commands.commands.at(0)));
    s.answer(direct, 200, w.next_heartbeat());
    s.run(Millis(60));
    w.heartbeat.tasks.back().phase = TaskPhase::exited;
    w.heartbeat.tasks.back().reason = ExitReason::done;
    s.send_heartbeat(w.next_heartbeat());
    s.run(Millis(3000));  // the end is on record
    const auto reply = s.send_heartbeat(w.next_heartbeat()).second;
    ASSERT_NE(find(reply, CommandKind::clear, {job(1).id, 0}), nullptr);
    EXPECT_GT(reply.token, direct.commands.token);
}

// Malformed messages are answered and dropped, and do not fill the log.
TEST(ControllerTest, ComplaintsOfOneKindAreLimitedInRate) {
    controller::Controller core(ControllerHarness::config(), 1, sansio::LogLevel::info);
    std::vector<controller::Command> batch;
    for (std::uint64_t i = 1; i <= 200; ++i) {
        batch.push_back(controller::Request{RequestId(i), controller::Listener::back, "POST",
                                            "/hello", "\xc1", false});
    }
    const auto effects = core.apply(std::move(batch), Instant(Millis(5000)), 1700000000000);
    EXPECT_EQ(effects.answers.size(), 200u);
    EXPECT_EQ(effects.answers.front().status, 400);
    EXPECT_LE(effects.logs.size(), 10u);
    EXPECT_GE(effects.logs.size(), 1u);
}

// A leader that stood still for longer than its lease may have been replaced: it answers none of
// what waited for it as one entitled to.
TEST(ControllerTest, NothingIsAnsweredAsTheLeaderAfterAStandStill) {
    ControllerHarness s(1);
    auto w = machine_for(s, job(1));
    ASSERT_EQ(s.send_heartbeat(w.next_heartbeat()).first, 200);
    s.stall_process(Millis(9000));
    EXPECT_EQ(s.send_heartbeat(w.next_heartbeat()).first, 503);
    s.run(Millis(3000));
    EXPECT_TRUE(s.leads());
    EXPECT_EQ(s.send_heartbeat(w.next_heartbeat()).first, 200);
}

// The start went with a check-in's answer; a direct command that repeats it cannot be sent. That
// one was not executed proves nothing about the other.
TEST(ControllerTest, AnUnsentCommandDoesNotUndoTheAnswerBeforeIt) {
    ControllerHarness s(1);
    const auto first = job(1);
    const auto second = job(2);
    auto [w, start, direct] = send_start_twice(s, first, second);
    s.answer(direct, sansio::HttpResult::kNotSent, {});
    ASSERT_EQ(s.request("POST", "/v1/jobs/" + second.id.get() + "/abort", {}).status, 200);
    s.run(Millis(3000));
    EXPECT_EQ(s.recorded_hosts(second.id), Hosts{w.heartbeat.host.get()});
    // The next check-in shows that the answer was lost.
    s.send_heartbeat(w.next_heartbeat());
    s.run(Millis(3000));
    EXPECT_EQ(s.recorded_hosts(second.id), Hosts{});
}

// A cancellation that the leader does not know of: its next placement is refused by the state
// service, and nothing of the job starts.
TEST(ControllerTest, NothingStartsOnceTheEndIsOnRecord) {
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

// A direct command without an answer may yet start the task: what a report of the token before
// lacks is no proof.
TEST(ControllerTest, ReportsOfAnOlderTokenProveNothing) {
    ControllerHarness s(1);
    const auto j = job(1);
    auto w = machine_for(s, j);
    ASSERT_EQ(s.commands_in_flight().size(), 1u);
    s.run(Millis(1600));  // given up: the leader raises the token
    ASSERT_EQ(s.commands_in_flight().size(), 0u);
    ASSERT_EQ(s.request("POST", "/v1/jobs/" + j.id.get() + "/abort", {}).status, 200);
    s.run(Millis(200));
    const auto next = s.send_heartbeat(w.next_heartbeat()).second.token;
    EXPECT_GT(next, w.heartbeat.token);
    s.run(Millis(2500));
    EXPECT_EQ(s.recorded_hosts(j.id), Hosts{w.heartbeat.host.get()});
    w.heartbeat.token = next;
    s.send_heartbeat(w.next_heartbeat());
    s.run(Millis(2500));
    EXPECT_TRUE(s.state().values("prog/").empty());
}

// Reports arrive from a machine that no answer and no command reaches.
TEST(ControllerTest, AnUnresponsiveMachineGetsNoWorkAndIsReturned) {
    ControllerHarness s(1);
    const auto early = job(1);
    const auto late = job(2);
    auto w = machine_for(s, early);
    ASSERT_EQ(s.commands_in_flight().size(), 1u);
    const auto host = w.heartbeat.host;
    report_unanswered(s, w, 6);
    ASSERT_EQ(s.submit(late), 201);
    report_unanswered(s, w, 4);
    EXPECT_EQ(s.recorded_hosts(late.id), Hosts{});
    // What was sent may have arrived: it moves by proof only.
    EXPECT_EQ(s.recorded_hosts(early.id), Hosts{host.get()});
    report_unanswered(s, w, 20);
    EXPECT_TRUE(s.scaled_in(host));
    auto other = ready_machine(s, 1);
    EXPECT_EQ(s.recorded_hosts(early.id), Hosts{other.heartbeat.host.get()});
    EXPECT_EQ(s.recorded_hosts(late.id), Hosts{other.heartbeat.host.get()});
}

// A start whose answer was lost is proved lost by the next report; a machine that then
// acknowledges nothing must not keep the task.
TEST(ControllerTest, WorkThatAnUnresponsiveMachineCannotHaveGoesElsewhere) {
    ControllerHarness s(2);
    s.run(Millis(3000));
    auto big = job(1, 2);
    big.cores = 10;  // one machine each
    big.expected_s = 200;
    ASSERT_EQ(s.submit(big), 201);
    auto w = s.machine(0);
    auto other = ready_machine(s, 1);
    const auto a = s.commands_in_flight().at(0).commands.commands.at(0);
    other.heartbeat.tasks.push_back(running_status(a));
    s.answer(s.commands_in_flight()[0], 200, other.next_heartbeat());
    acknowledge_token(s, w);
    // No connection to it can be made, and the answers to its reports are lost.
    for (int i = 0; i < 8; ++i) {
        while (!s.commands_in_flight().empty())
            s.answer(s.commands_in_flight()[0], sansio::HttpResult::kNotSent, {});
        s.send_heartbeat(w.next_heartbeat());
        s.run(Millis(1000));
    }
    s.run(Millis(2000));
    EXPECT_EQ(s.recorded_hosts(big.id), Hosts{other.heartbeat.host.get()});
    EXPECT_FALSE(s.scaled_in(w.heartbeat.host));
}

// Late copies of reports count neither for the lease, nor as a sign of life, nor as proof.
TEST(ControllerTest, LateCopiesHaveNoEffect) {
    ControllerHarness s(1);
    s.run(Millis(3000));
    const auto j = job(1);
    ASSERT_EQ(s.submit(j), 201);
    auto w = s.machine(0);
    const auto oldest = wire::encode(w.heartbeat);
    acknowledge_token(s, w);
    const auto a = s.commands_in_flight().at(0).commands.commands.at(0);
    const auto without = w.next_heartbeat();
    s.send_heartbeat(without);
    w.heartbeat.tasks.push_back(running_status(a));
    s.answer(s.commands_in_flight()[0], 200, w.next_heartbeat());
    const auto with = w.next_heartbeat();
    ASSERT_EQ(s.send_heartbeat(with).first, 200);
    // The machine is silent from now on; only copies come, also of reports without the task.
    for (int i = 0; i < 14; ++i) {
        EXPECT_NE(s.send_heartbeat(i % 2 ? with : without).first, 200);
        s.run(Millis(1000));
        ASSERT_EQ(s.recorded_hosts(j.id), Hosts{w.heartbeat.host.get()});
    }
    EXPECT_FALSE(s.logged("event=lease_expired"));
    s.run(Millis(2500));
    EXPECT_TRUE(s.logged("event=lease_expired"));
    s.run(Millis(20000));
    ASSERT_TRUE(s.scaled_in(w.heartbeat.host));

    // Nor do they bring the machine back, now or under a later leader, which does not know it.
    EXPECT_NE(s.send_heartbeat(with).first, 200);
    s.run(Millis(9000));
    s.restart();
    s.run(Millis(5000));
    ASSERT_TRUE(s.leads());
    const auto machines = s.state().values("rent/");
    for (const auto& copy : {oldest, without, with}) {
        s.send_heartbeat(copy);
        s.run(Millis(2500));
    }
    EXPECT_EQ(s.recorded_hosts(j.id), Hosts{});
    for (const auto& [key, value] : s.state().values("rent/")) {
        EXPECT_EQ(value.find(w.heartbeat.host.get()), std::string::npos) << key;
    }
}

// docs/incidents/0004: a new leader took idle machines that had not reported yet for stuck.
TEST(ControllerTest, ANewLeaderWaitsForIdleMachinesToReport) {
    ControllerHarness s(1);
    auto w = machine_for(s, job(1));
    w.heartbeat.tasks.push_back(
        running_status(s.commands_in_flight().at(0).commands.commands.at(0)));
    s.answer(s.commands_in_flight()[0], 200, w.next_heartbeat());
    for (int i = 0; i < 45; ++i) {
        ASSERT_EQ(s.send_heartbeat(w.next_heartbeat()).first, 200);
        s.run(Millis(1000));
    }
    w.heartbeat.tasks[0].phase = TaskPhase::exited;
    w.heartbeat.tasks[0].reason = ExitReason::done;
    s.send_heartbeat(w.next_heartbeat());
    s.run(Millis(3000));
    s.restart();
    s.run(Millis(7000));
    ASSERT_TRUE(s.leads());
    EXPECT_FALSE(s.scaled_in(w.heartbeat.host));
    EXPECT_EQ(s.send_heartbeat(w.next_heartbeat()).first, 200);
}

// A worker forgets its tasks with its session; a copy of an earlier session does not bring them
// back.
TEST(ControllerTest, ALaterSessionProvesTheEarlierOnesTasksGone) {
    ControllerHarness s(1);
    const auto j = job(1);
    auto w = machine_for(s, j);
    const auto a = s.commands_in_flight().at(0).commands.commands.at(0);
    w.heartbeat.tasks.push_back(running_status(a));
    const auto earlier = w.next_heartbeat();
    s.send_heartbeat(earlier);
    s.run(Millis(2000));  // the command is given up: the token rises, the worker does not see it
    w.heartbeat.tasks.clear();
    ++w.heartbeat.order.agent_epoch;
    const auto orders = s.send_heartbeat(w.next_heartbeat()).second;
    s.run(Millis(400));
    EXPECT_NE(s.send_heartbeat(earlier).first, 200);
    w.heartbeat.token = orders.token;
    const auto again = s.send_heartbeat(w.next_heartbeat()).second;
    const auto* start = find(again, CommandKind::start, a.task);
    if (!start && !s.commands_in_flight().empty())
        start = find(s.commands_in_flight()[0].commands, CommandKind::start, a.task);
    ASSERT_NE(start, nullptr);
    EXPECT_NE(start->attempt, a.attempt);
    EXPECT_FALSE(s.scaled_in(w.heartbeat.host));
}

// Until the worker has shown the new leader's term, the one before could renew its lease.
TEST(ControllerTest, ALeaseProvesNothingUntilTheTermWasShown) {
    ControllerHarness s(1);
    const auto j = job(1);
    auto w = machine_for(s, j);
    w.heartbeat.tasks.push_back(
        running_status(s.commands_in_flight().at(0).commands.commands.at(0)));
    s.answer(s.commands_in_flight()[0], 200, w.next_heartbeat());
    s.run(Millis(2000));
    s.restart();
    s.run(Millis(5000));
    ASSERT_TRUE(s.leads());
    // Its answer is lost, and nothing else is heard of it for more than a lease.
    ASSERT_EQ(s.send_heartbeat(w.next_heartbeat()).first, 200);
    s.run(Millis(17000));
    EXPECT_FALSE(s.logged("event=lease_expired"));
    EXPECT_EQ(s.recorded_hosts(j.id), Hosts{w.heartbeat.host.get()});
}

// Only direct commands get through, and they renew no lease. When the worker's ends, its new
// session has a lease of its own: the end of the old one proves nothing about what the new one was
// sent.
TEST(ControllerTest, ANewSessionHasALeaseOfItsOwn) {
    ControllerHarness s(1);
    const auto first = job(1);
    const auto second = job(2);
    auto w = machine_for(s, first);
    w.heartbeat.tasks.push_back(
        running_status(s.commands_in_flight().at(0).commands.commands.at(0)));
    s.answer(s.commands_in_flight()[0], 200, w.next_heartbeat());
    s.run(Millis(14700));
    ASSERT_EQ(s.request("POST", "/v1/jobs/" + first.id.get() + "/abort", {}).status, 200);
    s.run(Millis(60));
    ASSERT_EQ(s.commands_in_flight().size(), 1u);
    w.heartbeat.tasks.clear();
    ++w.heartbeat.order.agent_epoch;
    s.answer(s.commands_in_flight()[0], 409, w.next_heartbeat());
    ASSERT_EQ(s.submit(second), 201);
    s.run(Millis(200));
    ASSERT_EQ(s.commands_in_flight().size(), 1u);
    w.heartbeat.tasks.push_back(running_status(s.commands_in_flight()[0].commands.commands.at(0)));
    s.answer(s.commands_in_flight()[0], 200, w.next_heartbeat());
    s.run(Millis(4000));
    EXPECT_EQ(s.recorded_hosts(second.id), Hosts{w.heartbeat.host.get()});
}

}  // namespace
}  // namespace dunebridge::sim
