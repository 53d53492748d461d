#include "workers/command_dispatcher.hpp"

#include "state/fencing_token.hpp"
#include "state/worker_liveness.hpp"
#include "workers/placement_conditions.hpp"

namespace dunebridge::workers {

using state::Machine;
using state::Placement;
using state::StartDelivery;

namespace {

// Delay between a direct command whose reply held a heartbeat and the next one to the same machine.
constexpr Millis kMinCommandInterval{30};
// The same delay for a direct command without such a reply.
constexpr Millis kBackoffWithoutReply{2000};

// Returns the delivery state of a start command once the direct command that carried it has ended.
StartDelivery delivery_after(const Placement& placement, const CommandResult& result) {
    if (!result.not_executed || placement.observed.seen)
        return StartDelivery::awaiting_confirmation;
    // The direct command had no effect, but the reply to a heartbeat may have carried the start
    // command as well, so that the task may be on the worker already.
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
        // A task whose start command was never sent needs no stop command.
        remove_placements_if(state_, *machine, [](const Placement& placement) {
            return was_never_sent(placement) && must_stop(placement);
        });
        dispatch(*machine);
    }
}

// Sends the machine's commands now, or arranges for them to be sent as soon as possible.
void CommandDispatcher::dispatch(Machine& machine) {
    const auto& worker = machine.worker;
    if (!worker.heartbeat_received || machine.instance.deleting) return;
    if (state::is_unresponsive(machine)) return;
    // handle_result() requests commands again when the command in flight has ended.
    if (worker.command_in_flight) return;
    if (in_flight_ >= max_in_flight_) {
        // The machine is retried once one of the commands in flight has ended.
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
    const auto on_result = [this, host = machine.host,
                            term = election_.term()](const CommandResult& result) {
        --in_flight_;
        if (election_.is_leader() && election_.term() == term) handle_result(host, result);
    };
    client_.send(machine, token, commands, on_result);
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
        worker.next_command_at = context_.now() + kMinCommandInterval;
        return;
    }
    // The command may still be executed at any later time. Once the worker has seen a higher token,
    // it refuses the command.
    if (!result.not_executed) ++worker.fence_counter;
    worker.next_command_at = context_.now() + kBackoffWithoutReply;
}

}  // namespace dunebridge::workers
