#include "workers/worker_manager.hpp"

#include <cstddef>
#include <utility>
#include <vector>

#include "state/fencing_token.hpp"
#include "workers/placement_conditions.hpp"

namespace dunebridge::workers {

using sansio::RefusalReason;
using state::Machine;
using state::make_token;
using state::term_of;

namespace {
constexpr Millis kCheckEvery{250};
// A bound on memory only, several times the largest fleet: after an answer of the cloud was lost,
// or while the list is late, all machines may be unknown at once.
constexpr std::size_t kMaxUnknownWorkers = 20000;
constexpr Millis kForgetUnknownWorkers{60000};
}  // namespace

WorkerManager::WorkerManager(sansio::Context& context, coordination::Election& election,
                             state::ClusterState& cluster_state,
                             const state::WorkerLiveness& liveness,
                             const state::ReleasedMachines& released_machines,
                             const config::Config& config, OnTaskCompleted on_task_completed)
    : context_(context),
      election_(election),
      state_(cluster_state),
      released_machines_(released_machines),
      leases_(context, election, cluster_state, liveness, config),
      heartbeat_processor_(context, election, cluster_state, leases_, std::move(on_task_completed)),
      command_dispatcher_(context, election, cluster_state, config, heartbeat_processor_) {}

void WorkerManager::reset() { unknown_workers_.clear(); }

FencingToken WorkerManager::token_of(const Machine& machine) const {
    return make_token(election_.term(), machine.worker.fence_counter);
}

// ---- heartbeats ----

void WorkerManager::handle_heartbeat(RequestId id, const wire::WorkerHeartbeat& heartbeat) {
    auto* machine = find_or_add_machine(id, heartbeat);
    if (!machine) return;
    auto& worker = machine->worker;
    // A worker sends its heartbeats in order, one at a time: this is a late copy, or one that it
    // has given up. Nobody waits for the reply, which must not count as a renewal of the lease.
    if (worker.heartbeat_received && heartbeat.order <= worker.last_heartbeat_request) {
        context_.refuse(id, RefusalReason::heartbeat_out_of_order);
        return;
    }
    worker.last_heartbeat_request = heartbeat.order;
    if (!heartbeat_processor_.apply(*machine, heartbeat, ExchangeKind::heartbeat)) {
        context_.refuse(id, RefusalReason::heartbeat_superseded);
        return;
    }
    count_unacknowledged(*machine);
    leases_.renew(*machine);
    std::vector<wire::TaskCommand> commands;
    // The worker has given up a heartbeat that newer ones overtook: it will not read the reply.
    if (worker.last_applied == heartbeat.order) {
        commands = command_dispatcher_.commands_for_reply(*machine);
    }
    context_.respond(id, 200, wire::encode_heartbeat_reply(token_of(*machine), commands));
}

// The machine of the heartbeat; null if the request has been answered already.
Machine* WorkerManager::find_or_add_machine(RequestId id, const wire::WorkerHeartbeat& heartbeat) {
    // A late heartbeat must not bring back a machine that the cloud has deleted.
    if (released_machines_.contains(heartbeat.host)) {
        context_.refuse(id, RefusalReason::machine_released);
        return nullptr;
    }
    if (auto* known = state_.find_machine(heartbeat.host)) return known;
    if (introduce_token(id, heartbeat)) return nullptr;
    // Brought by a scale-out request whose answer was lost, or before this term. It is used, or
    // scaled in when it is idle.
    context_.log(sansio::LogLevel::info, "event=unrecorded_machine host={}", heartbeat.host.get());
    return &state_.add_machine(heartbeat.host, heartbeat.machine_type, heartbeat.zone,
                               heartbeat.spot);
}

// A late heartbeat of a machine that is long gone must not bring it back. A worker that no record
// names is therefore given the token first, and taken in once it shows a token of this term.
// Returns false if it does; otherwise the request has been answered.
bool WorkerManager::introduce_token(RequestId id, const wire::WorkerHeartbeat& heartbeat) {
    if (term_of(heartbeat.token) == election_.term()) {
        unknown_workers_.erase(heartbeat.host);
        return false;
    }
    const bool is_new = !unknown_workers_.contains(heartbeat.host);
    if (is_new && unknown_workers_.size() >= kMaxUnknownWorkers) {
        context_.refuse(id, RefusalReason::too_many_unknown_workers);
        return true;
    }
    unknown_workers_.try_emplace(heartbeat.host, context_.now());
    context_.respond(id, 200, wire::encode_heartbeat_reply(make_token(election_.term(), 0), {}));
    return true;
}

// Replies of which the worker shows nothing do not reach it, although its heartbeats arrive.
void WorkerManager::count_unacknowledged(Machine& machine) const {
    auto& worker = machine.worker;
    if (worker.acknowledged_token == token_of(machine)) {
        worker.unacknowledged_replies = 0;
    } else if (worker.unacknowledged_replies++ == 0) {
        worker.unacknowledged_since = context_.now();
    }
}

// ---- time ----

void WorkerManager::tick() {
    if (context_.now() >= next_check_) {
        next_check_ = context_.now() + kCheckEvery;
        check_machines();
    }
    command_dispatcher_.tick();
}

void WorkerManager::check_machines() {
    std::erase_if(unknown_workers_, [&](const auto& worker) {
        return context_.now() - worker.second > kForgetUnknownWorkers;
    });
    for (auto& [host, machine] : state_.machines()) {
        leases_.expire(machine);
        // What an unresponsive machine certainly has not got is placed elsewhere.
        if (state::is_unresponsive(machine)) remove_placements_if(state_, machine, is_never_sent);
    }
}

}  // namespace dunebridge::workers
