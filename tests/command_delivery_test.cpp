// One controller against scripted workers: commands whose delivery is uncertain.
#include <gtest/gtest.h>

#include "controller_fixtures.hpp"
#include "sim/controller_harness.hpp"

namespace dunebridge::sim {
namespace {

using wire::CommandKind;
using wire::ExitReason;
using wire::TaskPhase;
using Hosts = std::vector<std::string>;

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
    auto [w, direct] = run_by_direct_command(s, job(1));
    w.heartbeat.tasks.back().phase = TaskPhase::exited;
    w.heartbeat.tasks.back().reason = ExitReason::done;
    s.send_heartbeat(w.next_heartbeat());
    s.run(Millis(3000));  // the end is on record
    const auto reply = s.send_heartbeat(w.next_heartbeat()).second;
    ASSERT_NE(find(reply, CommandKind::clear, {job(1).id, 0}), nullptr);
    EXPECT_GT(reply.token, direct.commands.token);
}

// While a direct command is under way nothing is cleared, but a task may start anew beside its
// exited attempt, which the worker then forgets: a repeat of the command that had started it is
// refused.
TEST(ControllerTest, StartingATaskAnewRefusesRepeatsOfTheCommandThatStartedItBefore) {
    ControllerHarness s(1);
    const TaskRef task{job(1).id, 0};
    auto [w, direct] = run_by_direct_command(s, job(1));
    ASSERT_EQ(s.submit(job(2)), 201);
    s.run(Millis(250));
    ASSERT_EQ(s.commands_in_flight().size(), 1u);  // starts the second job; not answered
    w.heartbeat.tasks.back().phase = TaskPhase::exited;
    w.heartbeat.tasks.back().reason = ExitReason::stopped;
    s.send_heartbeat(w.next_heartbeat());
    s.run(Millis(400));  // the task is placed anew, and that is on record
    ASSERT_EQ(s.commands_in_flight().size(), 1u);
    const auto reply = s.send_heartbeat(w.next_heartbeat()).second;
    ASSERT_NE(find(reply, CommandKind::start, task), nullptr);
    EXPECT_EQ(find(reply, CommandKind::clear, task), nullptr);
    EXPECT_GT(reply.token, direct.commands.token);
}

// The leader placed the attempt, and no longer knows which command started it: that may have been a
// direct one, so what clears the attempt refuses its repeats.
TEST(ControllerTest, ClearingAnAttemptWithoutAPlacementRefusesRepeats) {
    ControllerHarness s(1);
    auto [w, direct] = run_by_direct_command(s, job(1));
    const auto start = direct.commands.commands.at(0);
    const TaskRef other{job(9).id, 0};  // of a job that is over
    w.heartbeat.tasks.push_back(running_status({CommandKind::start, other, start.attempt}));
    w.heartbeat.tasks.back().phase = TaskPhase::exited;
    w.heartbeat.tasks.back().reason = ExitReason::stopped;
    const auto reply = s.send_heartbeat(w.next_heartbeat()).second;
    ASSERT_NE(find(reply, CommandKind::clear, other), nullptr);
    EXPECT_GT(reply.token, direct.commands.token);
}

// The start went with a heartbeat's answer; a direct command that repeats it cannot be sent. That
// one was not executed proves nothing about the other.
TEST(ControllerTest, AnUnsentCommandDoesNotUndoTheAnswerBeforeIt) {
    ControllerHarness s(1);
    const auto first = job(1);
    const auto second = job(2);
    auto [w, start, direct] = send_start_twice(s, first, second);
    s.complete(direct, sansio::HttpResult(sansio::CallOutcome::not_sent));
    ASSERT_EQ(s.request("POST", "/v1/jobs/" + second.id.get() + "/abort", {}).status, 200);
    s.run(Millis(3000));
    EXPECT_EQ(s.recorded_hosts(second.id), Hosts{w.heartbeat.host.get()});
    // The next heartbeat shows that the answer was lost.
    s.send_heartbeat(w.next_heartbeat());
    s.run(Millis(3000));
    EXPECT_EQ(s.recorded_hosts(second.id), Hosts{});
}

// A direct command without an answer may yet start the task: what a report of the token before
// lacks is no proof.
TEST(ControllerTest, HeartbeatsWithAnOlderTokenProveNothing) {
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
TEST(ControllerTest, AnUnresponsiveMachineGetsNoWorkAndIsScaledIn) {
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
    big.expected_run_time_s = 200;
    ASSERT_EQ(s.submit(big), 201);
    auto w = s.machine(0);
    auto other = ready_machine(s, 1);
    const auto a = s.commands_in_flight().at(0).commands.commands.at(0);
    other.heartbeat.tasks.push_back(running_status(a));
    s.answer(s.commands_in_flight()[0], 200, other.next_heartbeat());
    acknowledge_token(s, w);
    // No connection to it can be made, and the answers to its reports are lost.
    for (int i = 0; i < 8; ++i) {
        while (!s.commands_in_flight().empty()) {
            s.complete(s.commands_in_flight()[0],
                       sansio::HttpResult(sansio::CallOutcome::not_sent));
        }
        s.send_heartbeat(w.next_heartbeat());
        s.run(Millis(1000));
    }
    s.run(Millis(2000));
    EXPECT_EQ(s.recorded_hosts(big.id), Hosts{other.heartbeat.host.get()});
    EXPECT_FALSE(s.scaled_in(w.heartbeat.host));
}

}  // namespace
}  // namespace dunebridge::sim
