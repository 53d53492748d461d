#include "workers/command_dispatcher.hpp"

#include <algorithm>

#include "state/fencing_token.hpp"
#include "state/worker_liveness.hpp"

namespace dunebridge::workers {

using state::is_unresponsive;
using state::JobState;
using state::Machine;
using state::make_token;
using state::Placement;
using state::PlacementKey;
using state::StartDelivery;
using wire::CommandKind;
using wire::TaskCommand;
using wire::TaskPhase;

namespace {
constexpr std::size_t kMaxCommands = 250;
// To the next command to the machine, after one that was answered and one that was not.
constexpr Millis kSpacing{30};
constexpr Millis kPauseAfterLoss{2000};

bool unsent_to_stop(const Placement& placement) {
    return never_sent(placement) && must_stop(placement);
}
}  // namespace

CommandDispatcher::CommandDispatcher(sansio::Context& context, coordination::Election& election,
                                     state::ClusterState& cluster_state,
                                     const config::Config& config, HeartbeatProcessor& heartbeats)
    : context_(context),
      election_(election),
      state_(cluster_state),
      heartbeat_processor_(heartbeats),
      client_(context),
      max_in_flight_(config::SocketBudget(config.fd_limit).commands) {}

// ---- orders ----

// An attempt is cleared only when nothing still under way could start it once more. Returns whether
// the token must be raised: direct commands that were carried out may be repeated late, and would
// start again what is cleared. A higher token, in the very message that clears it, refuses them.
bool CommandDispatcher::append_clear_commands(const Machine& machine,
                                              std::vector<TaskCommand>& commands) const {
    const auto& worker = machine.worker;
    const bool shows_token =
        worker.acknowledged_token == make_token(election_.term(), worker.fence_counter);
    if (!shows_token || worker.command_in_flight) return false;
    bool raise_fence = false;
    for (const auto& exited : worker.exited) {
        if (!state_.committed(exited.record, exited.outcome)) continue;
        commands.push_back({CommandKind::clear, exited.task, exited.attempt, 0});
        raise_fence = raise_fence || exited.fenced_from > worker.fence_counter;
    }
    return raise_fence;
}

void CommandDispatcher::append_stop_command(const Placement& placement,
                                            std::vector<TaskCommand>& commands) {
    const bool wanted =
        placement.job->state == JobState::active && !placement.job->tasks[placement.index].done;
    const double grace_s = wanted ? placement.grace_s : 0;
    if (placement.phase == TaskPhase::saving && grace_s != 0) return;
    commands.push_back({CommandKind::stop, placement.ref(), placement.attempt, grace_s});
}

// Whether a late repeat of a command could start the task's earlier attempt once more.
bool CommandDispatcher::replaces_exited_attempt(const Machine& machine,
                                                const Placement& placement) {
    const auto& exited = machine.worker.exited;
    return std::any_of(exited.begin(), exited.end(), [&](const state::ExitedTask& earlier) {
        return earlier.fenced_from > machine.worker.fence_counter &&
               earlier.task == placement.ref();
    });
}

std::vector<TaskCommand> CommandDispatcher::commands(Machine& machine, ExchangeKind exchange) {
    const bool direct = exchange == ExchangeKind::direct_command;
    std::vector<TaskCommand> out;
    std::vector<Placement*> started;
    bool raise_fence = append_clear_commands(machine, out);
    for (const auto& unexpected : machine.worker.unrecorded_tasks) {
        out.push_back({CommandKind::stop, unexpected.task, unexpected.attempt, 0});
    }
    for (auto& [key, placement] : machine.tasks) {
        if (out.size() >= kMaxCommands) break;
        if (!placement.committed || placement.sent == StartDelivery::in_direct_command) continue;
        if (must_stop(placement)) {
            append_stop_command(placement, out);
            continue;
        }
        const bool settled =
            placement.seen || placement.sent == StartDelivery::awaiting_confirmation;
        if (settled || is_unresponsive(machine)) continue;
        out.push_back({CommandKind::start, placement.ref(), placement.attempt, 0});
        raise_fence = raise_fence || replaces_exited_attempt(machine, placement);
        placement.sent =
            direct ? StartDelivery::in_direct_command : StartDelivery::in_heartbeat_reply;
        placement.in_heartbeat_reply = placement.in_heartbeat_reply || !direct;
        placement.agent_epoch = std::max(placement.agent_epoch, machine.worker.last.agent_epoch);
        started.push_back(&placement);
    }
    // Clearing alone can wait for the next check-in.
    const auto is_clear = [](const TaskCommand& order) { return order.kind == CommandKind::clear; };
    if (direct && std::all_of(out.begin(), out.end(), is_clear)) return {};
    if (raise_fence) ++machine.worker.fence_counter;
    if (direct) {
        for (auto* placement : started) placement->fenced_from = machine.worker.fence_counter + 1;
    }
    return out;
}

// ---- what was never sent is simply not sent ----

void CommandDispatcher::remove_placements_if(Machine& machine,
                                             bool (*condition)(const Placement&)) {
    std::vector<PlacementKey> unsent;
    for (const auto& [key, placement] : machine.tasks) {
        if (condition(placement)) unsent.push_back(key);
    }
    for (const auto& key : unsent) state_.remove(machine, key);
}

void CommandDispatcher::remove_unsent_cancelled(Machine& machine) {
    remove_placements_if(machine, unsent_to_stop);
}

void CommandDispatcher::remove_unsent_placements(Machine& machine) {
    remove_placements_if(machine, never_sent);
}

// ---- direct commands ----

void CommandDispatcher::tick() {
    for (auto* machine : state_.take_machines_needing_commands()) {
        auto& worker = machine->worker;
        worker.needs_commands = false;
        remove_unsent_cancelled(*machine);
        if (!worker.heartbeat_received || machine->instance.deleting || is_unresponsive(*machine))
            continue;
        if (worker.command_in_flight) continue;  // its answer requests commands again
        if (in_flight_ >= max_in_flight_) {
            state_.request_commands(*machine);  // goes on when one of those under way has ended
        } else if (context_.now() >= worker.next_command_at) {
            send(*machine);
        } else {
            state_.request_commands(*machine);
            context_.request_wake(worker.next_command_at);
        }
    }
}

void CommandDispatcher::send(Machine& machine) {
    const auto out = commands(machine, ExchangeKind::direct_command);
    if (out.empty()) return;
    machine.worker.command_in_flight = true;
    ++in_flight_;
    const auto token = make_token(election_.term(), machine.worker.fence_counter);
    client_.send(machine, token, out,
                 [this, host = machine.host, term = election_.term()](const CommandResult& result) {
                     --in_flight_;
                     if (election_.is_leader() && election_.term() == term)
                         handle_command_result(host, result);
                 });
}

void CommandDispatcher::handle_command_result(const MachineName& host,
                                              const CommandResult& result) {
    auto* machine = state_.find_machine(host);
    if (!machine) return;
    machine->worker.command_in_flight = false;
    for (auto& [key, placement] : machine->tasks) {
        if (placement.sent != StartDelivery::in_direct_command) continue;
        // Unsent, it changes nothing: the start may have gone another way, and be there already.
        const auto before = placement.in_heartbeat_reply ? StartDelivery::in_heartbeat_reply
                                                         : StartDelivery::not_sent;
        placement.sent =
            result.unexecuted && !placement.seen ? before : StartDelivery::awaiting_confirmation;
    }
    state_.request_commands(*machine);
    if (result.heartbeat) {
        heartbeat_processor_.apply(*machine, *result.heartbeat, ExchangeKind::direct_command);
        machine->worker.next_command_at = context_.now() + kSpacing;
        return;
    }
    if (!result.unexecuted) ++machine->worker.fence_counter;
    machine->worker.next_command_at = context_.now() + kPauseAfterLoss;
}

}  // namespace dunebridge::workers
