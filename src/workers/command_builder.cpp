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

constexpr std::size_t kMaxCommands = 250;

void append_stop_command(const Placement& placement, std::vector<TaskCommand>& commands) {
    const auto& job = *placement.job;
    const bool still_wanted = job.state == JobState::active && !job.tasks[placement.index].done;
    const double grace_s = still_wanted ? placement.stop.grace.count() : 0;
    // It does what it was told already.
    if (placement.observed.phase == wire::TaskPhase::saving && grace_s != 0) return;
    commands.push_back({CommandKind::stop, placement.ref(), placement.attempt, grace_s});
}

bool is_to_be_started(const Machine& machine, const Placement& placement) {
    const bool was_sent =
        placement.observed.seen || placement.start.delivery == StartDelivery::awaiting_confirmation;
    return !was_sent && !state::is_unresponsive(machine);
}

// Whether a late repeat of a direct command could start the task's earlier attempt once more.
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

bool only_clears(const std::vector<TaskCommand>& commands) {
    return std::all_of(commands.begin(), commands.end(), [](const TaskCommand& command) {
        return command.kind == CommandKind::clear;
    });
}

}  // namespace

// An attempt is cleared only when nothing still under way could start it once more. Returns whether
// the token must be raised: direct commands that were carried out may be repeated late, and would
// start again what is cleared. A higher token, in the very message that clears it, refuses them.
bool CommandBuilder::append_clear_commands(const Machine& machine,
                                           std::vector<TaskCommand>& commands) const {
    const auto& worker = machine.worker;
    const bool shows_token =
        worker.acknowledged_token == state::make_token(election_.term(), worker.fence_counter);
    if (!shows_token || worker.command_in_flight) return false;
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
        } else if (is_to_be_started(machine, placement)) {
            commands.push_back({CommandKind::start, placement.ref(), placement.attempt, 0});
            raise_fence = raise_fence || replaces_exited_attempt(machine, placement);
            mark_start_sent(machine, placement, exchange);
            started.push_back(&placement);
        }
    }
    const bool direct = exchange == ExchangeKind::direct_command;
    // Clearing alone can wait for the worker's next heartbeat.
    if (direct && only_clears(commands)) return {};
    if (raise_fence) ++machine.worker.fence_counter;
    if (direct) {
        const auto fenced_from = machine.worker.fence_counter + 1;
        for (auto* placement : started) placement->start.fenced_from = fenced_from;
    }
    return commands;
}

}  // namespace dunebridge::workers
