// One controller against scripted workers: heartbeats, agent epochs and lease expiry as proof.
#include <gtest/gtest.h>

#include "controller_fixtures.hpp"
#include "sim/controller_harness.hpp"

namespace dunebridge::sim {
namespace {

using wire::CommandKind;
using wire::ExitReason;
using wire::TaskPhase;
using Hosts = std::vector<std::string>;

// Late copies of reports count neither for the lease, nor as a sign of life, nor as proof.
TEST(ControllerTest, LateDuplicatesOfHeartbeatsHaveNoEffect) {
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

// A worker forgets its tasks with its session; a copy of an earlier session does not bring them
// back.
TEST(ControllerTest, ANewAgentEpochProvesTheEarlierOnesTasksGone) {
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
TEST(ControllerTest, LeaseExpiryProvesNothingUntilTheTermWasAcknowledged) {
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
TEST(ControllerTest, ANewAgentEpochHasALeaseOfItsOwn) {
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

// docs/incidents/0004: a new leader took idle machines that had not reported yet for stuck.
TEST(ControllerTest, ANewLeaderWaitsForHeartbeatsOfIdleMachines) {
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

}  // namespace
}  // namespace dunebridge::sim
