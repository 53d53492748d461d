#include "workers/command_dispatcher.hpp"

#include "state/fencing_token.hpp"
#include "state/worker_liveness.hpp"
#include "workers/placement_conditions.hpp"

namespace dunebridge::workers {

using state::Machine;
using state::Placement;
using state::StartDelivery;

namespace {

// From an answered command to the next one to the machine, and from one without an answer.
constexpr Millis kCommandSpacing{30};
constexpr Millis kBackoffAfterLoss{2000};

// How the task's start stands once the direct command that carried it has ended.
StartDelivery delivery_after(const Placement& placement, const CommandResult& result) {
    if (!result.unexecuted || placement.observed.seen) return StartDelivery::awaiting_confirmation;
    // An unexecuted command changes nothing: the start may have gone in the reply to a heartbeat as
    // well, and be on the worker already.
    return placement.start.in_heartbeat_reply ? StartDelivery::in_heartbeat_reply
                                              : StartDelivery::not_sent;
}

}  // namespace

CommandDispatcher::CommandDispatcher(sansio::Context& context, coordination::Election& election,
                                     state::ClusterState& cluster_state,
                                     const config::Config& config,
                                     HeartbeatProcessor& heartbeat_processor)
    : context_(context),
      election_(election),
      state_(cluster_state),
      heartbeat_processor_(heartbeat_processor),
      command_builder_(election, cluster_state),
      client_(context),
      max_in_flight_(config::SocketBudget(config.fd_limit).worker_client) {}

std::vector<wire::TaskCommand> CommandDispatcher::commands_for_reply(Machine& machine) const {
    return command_builder_.build(machine, ExchangeKind::heartbeat);
}

void CommandDispatcher::tick() {
    for (auto* machine : state_.take_machines_needing_commands()) {
        machine->worker.needs_commands = false;
        // A task that has not been sent needs no command to stop it.
        remove_placements_if(state_, *machine, [](const Placement& placement) {
            return is_never_sent(placement) && must_stop(placement);
        });
        dispatch(*machine);
    }
}

// Sends the machine's commands, or sees to it that they are sent as soon as they may be.
void CommandDispatcher::dispatch(Machine& machine) {
    const auto& worker = machine.worker;
    if (!worker.heartbeat_received || machine.instance.deleting) return;
    if (state::is_unresponsive(machine)) return;
    // The answer to the command in flight requests commands again.
    if (worker.command_in_flight) return;
    if (in_flight_ >= max_in_flight_) {
        // Goes on when one of the commands in flight has ended.
        state_.request_commands(machine);
    } else if (context_.now() >= worker.next_command_at) {
        send(machine);
    } else {
        state_.request_commands(machine);
        context_.request_wake(worker.next_command_at);
    }
}

void CommandDispatcher::send(Machine& machine) {
    const auto commands = command_builder_.build(machine, ExchangeKind::direct_command);
    if (commands.empty()) return;
    machine.worker.command_in_flight = true;
    ++in_flight_;
    const auto token = state::make_token(election_.term(), machine.worker.fence_counter);
    const auto handle = [this, host = machine.host,
                         term = election_.term()](const CommandResult& result) {
        --in_flight_;
        if (election_.is_leader() && election_.term() == term) handle_result(host, result);
    };
    client_.send(machine, token, commands, handle);
}

void CommandDispatcher::handle_result(const MachineName& host, const CommandResult& result) {
    auto* machine = state_.find_machine(host);
    if (!machine) return;
    auto& worker = machine->worker;
    worker.command_in_flight = false;
    for (auto& [key, placement] : machine->placements) {
        if (placement.start.delivery == StartDelivery::in_direct_command)
            placement.start.delivery = delivery_after(placement, result);
    }
    state_.request_commands(*machine);
    if (result.heartbeat) {
        heartbeat_processor_.apply(*machine, *result.heartbeat, ExchangeKind::direct_command);
        worker.next_command_at = context_.now() + kCommandSpacing;
        return;
    }
    // The command may still be executed at any later time: a higher token shuts it out.
    if (!result.unexecuted) ++worker.fence_counter;
    worker.next_command_at = context_.now() + kBackoffAfterLoss;
}

}  // namespace dunebridge::workers
