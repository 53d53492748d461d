#include "workers/command_builder.hpp"

#include <algorithm>
#include <cstddef>

#include "state/fencing_token.hpp"
#include "state/worker_liveness.hpp"
#include "workers/placement_conditions.hpp"

namespace dunebridge::workers {

using state::JobState;
using state::Machine;
using state::Placement;
using state::StartDelivery;
using wire::CommandKind;
using wire::TaskCommand;

namespace {

// Once a message holds this many commands, no further placements are considered for it.
constexpr std::size_t kMaxCommands = 250;

void append_stop_command(const Placement& placement, std::vector<TaskCommand>& commands) {
    const auto& job = *placement.job;
    const bool will_run_again = job.state == JobState::active && !job.tasks[placement.index].done;
    const double grace_s = will_run_again ? placement.stop.grace.count() : 0;
    // The task is already saving its checkpoint in response to an earlier stop command.
    if (placement.observed.phase == wire::TaskPhase::saving && grace_s != 0) return;
    commands.push_back({CommandKind::stop, placement.ref(), placement.attempt, grace_s});
}

bool should_start(const Machine& machine, const Placement& placement) {
    const bool was_sent =
        placement.observed.seen || placement.start.delivery == StartDelivery::awaiting_confirmation;
    return !was_sent && !state::is_unresponsive(machine);
}

// Returns true if a late duplicate of a direct command could start an earlier attempt of the task
// again.
bool replaces_exited_attempt(const Machine& machine, const Placement& placement) {
    const auto& exited = machine.worker.exited;
    return std::any_of(exited.begin(), exited.end(), [&](const state::ExitedTask& earlier) {
        return earlier.fenced_from > machine.worker.fence_counter &&
               earlier.task == placement.ref();
    });
}

void mark_start_sent(const Machine& machine, Placement& placement, ExchangeKind exchange) {
    auto& start = placement.start;
    if (exchange == ExchangeKind::direct_command) {
        start.delivery = StartDelivery::in_direct_command;
    } else {
        start.delivery = StartDelivery::in_heartbeat_reply;
        start.in_heartbeat_reply = true;
    }
    start.agent_epoch = std::max(start.agent_epoch, machine.worker.last_applied.agent_epoch);
}

bool has_only_clear_commands(const std::vector<TaskCommand>& commands) {
    return std::all_of(commands.begin(), commands.end(), [](const TaskCommand& command) {
        return command.kind == CommandKind::clear;
    });
}

}  // namespace

// Appends commands that clear exited attempts whose outcome is committed. An attempt is cleared
// only if no command still in transit could start it again. Returns true if the fencing token must
// be raised: the network may deliver late duplicates of executed direct commands, which would start
// a cleared attempt again. With a higher token in the message that clears the attempt, the worker
// refuses them.
bool CommandBuilder::append_clear_commands(const Machine& machine,
                                           std::vector<TaskCommand>& commands) const {
    const auto& worker = machine.worker;
    const bool token_acknowledged =
        worker.acknowledged_token == state::make_token(election_.term(), worker.fence_counter);
    if (!token_acknowledged || worker.command_in_flight) return false;
    bool raise_fence = false;
    for (const auto& exited : worker.exited) {
        if (!state_.is_committed(exited.record_key, exited.outcome_version)) continue;
        commands.push_back({CommandKind::clear, exited.task, exited.attempt, 0});
        raise_fence = raise_fence || exited.fenced_from > worker.fence_counter;
    }
    return raise_fence;
}

std::vector<TaskCommand> CommandBuilder::build(Machine& machine, ExchangeKind exchange) const {
    std::vector<TaskCommand> commands;
    std::vector<Placement*> started;
    bool raise_fence = append_clear_commands(machine, commands);
    for (const auto& task : machine.worker.unrecorded_tasks) {
        commands.push_back({CommandKind::stop, task.task, task.attempt, 0});
    }
    for (auto& [key, placement] : machine.placements) {
        if (commands.size() >= kMaxCommands) break;
        if (!placement.is_committed()) continue;
        if (placement.start.delivery == StartDelivery::in_direct_command) continue;
        if (must_stop(placement)) {
            append_stop_command(placement, commands);
        } else if (should_start(machine, placement)) {
            commands.push_back({CommandKind::start, placement.ref(), placement.attempt, 0});
            raise_fence = raise_fence || replaces_exited_attempt(machine, placement);
            mark_start_sent(machine, placement, exchange);
            started.push_back(&placement);
        }
    }
    const bool direct = exchange == ExchangeKind::direct_command;
    // Clear commands are not urgent: they can wait for the worker's next heartbeat.
    if (direct && has_only_clear_commands(commands)) return {};
    if (raise_fence) ++machine.worker.fence_counter;
    if (direct) {
        const auto fenced_from = machine.worker.fence_counter + 1;
        for (auto* placement : started) placement->start.fenced_from = fenced_from;
    }
    return commands;
}

}  // namespace dunebridge::workers
