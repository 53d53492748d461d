/// \file
/// Situations that tests of one controller with scripted workers begin with.
#pragma once

#include <gtest/gtest.h>

#include "sim/controller_harness.hpp"

namespace dunebridge::sim {

/// The command of the kind for the task, or null.
inline const wire::TaskCommand* find(const wire::CommandBatch& commands, wire::CommandKind verb,
                                     const TaskRef& task) {
    for (const auto& o : commands.commands) {
        if (o.kind == verb && o.task == task) return &o;
    }
    return nullptr;
}

/// A controller that leads, and its first machine, for which the job waits.
inline HarnessWorker machine_for(ControllerHarness& s, const wire::JobSpec& job) {
    s.run(Millis(3000));
    EXPECT_EQ(s.submit(job), 201);
    auto w = ready_machine(s, 0);
    return w;
}

/// Runs on while the worker reports every second and no answer reaches it.
inline void report_unanswered(ControllerHarness& s, HarnessWorker& w, int seconds) {
    for (int i = 0; i < seconds && !s.scaled_in(w.heartbeat.host); ++i) {
        s.send_heartbeat(w.next_heartbeat());
        s.run(Millis(1000));
    }
}

/// A task runs on a machine that a direct command, which has been answered, told to start it.
struct RunByDirectCommand {
    HarnessWorker worker;
    ControllerHarness::DirectCommand direct;
};
inline RunByDirectCommand run_by_direct_command(ControllerHarness& s, const wire::JobSpec& job) {
    auto worker = machine_for(s, job);
    EXPECT_EQ(s.commands_in_flight().size(), 1u);
    const auto direct = s.commands_in_flight().at(0);
    worker.heartbeat.tasks.push_back(running_status(direct.commands.commands.at(0)));
    s.answer(direct, 200, worker.next_heartbeat());
    s.run(Millis(60));
    return {worker, direct};
}

/// The start of the second job's task is on its way twice: in a heartbeat's answer, and in a direct
/// command that has no answer yet. The first job's task runs.
struct StartSentTwice {
    HarnessWorker worker;
    wire::TaskCommand start;
    ControllerHarness::DirectCommand direct;
};
inline StartSentTwice send_start_twice(ControllerHarness& s, const wire::JobSpec& first,
                                       const wire::JobSpec& second) {
    StartSentTwice sent;
    sent.worker = machine_for(s, first);
    EXPECT_EQ(s.commands_in_flight().size(), 1u);
    EXPECT_EQ(s.submit(second), 201);
    s.run(Millis(250));
    const auto answer = s.send_heartbeat(sent.worker.next_heartbeat()).second;
    const auto* start = find(answer, wire::CommandKind::start, {second.id, 0});
    EXPECT_NE(start, nullptr);
    if (start) sent.start = *start;
    sent.worker.heartbeat.tasks.push_back(
        running_status(s.commands_in_flight().at(0).commands.commands.at(0)));
    s.answer(s.commands_in_flight()[0], 200, sent.worker.next_heartbeat());
    s.run(Millis(60));
    EXPECT_EQ(s.commands_in_flight().size(), 1u);
    sent.direct = s.commands_in_flight().at(0);
    EXPECT_NE(find(sent.direct.commands, wire::CommandKind::start, {second.id, 0}), nullptr);
    return sent;
}

}  // namespace dunebridge::sim
