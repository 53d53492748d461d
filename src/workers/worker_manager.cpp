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
constexpr Millis kCheckInterval{250};
// This limit only bounds memory use. It is several times the largest fleet, as all machines may be
// unknown at once after a response of the cloud was lost, or while the cloud's machine list is out
// of date.
constexpr std::size_t kMaxUnknownWorkers = 20000;
constexpr Millis kUnknownWorkerRetention{60000};
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

FencingToken WorkerManager::fencing_token(const Machine& machine) const {
    return make_token(election_.term(), machine.worker.fence_counter);
}

// ---- heartbeats ----

void WorkerManager::handle_heartbeat(RequestId id, const wire::WorkerHeartbeat& heartbeat) {
    auto* machine = find_or_add_machine(id, heartbeat);
    if (!machine) return;
    auto& worker = machine->worker;
    // A worker sends its heartbeats in order, one at a time. This one is a late duplicate, or the
    // worker has given up waiting for its reply. Nobody reads the reply, so it must not count as a
    // renewal of the lease.
    if (worker.heartbeat_received && heartbeat.order <= worker.last_heartbeat_request) {
        context_.refuse(id, RefusalReason::heartbeat_out_of_order);
        return;
    }
    worker.last_heartbeat_request = heartbeat.order;
    if (!heartbeat_processor_.apply(*machine, heartbeat, ExchangeKind::heartbeat)) {
        context_.refuse(id, RefusalReason::heartbeat_superseded);
        return;
    }
    count_unacknowledged_reply(*machine);
    leases_.renew(*machine);
    std::vector<wire::TaskCommand> commands;
    // If a newer heartbeat has already been applied, the worker no longer waits for this reply and
    // would not read the commands.
    if (worker.last_applied == heartbeat.order) {
        commands = command_dispatcher_.commands_for_reply(*machine);
    }
    context_.respond(id, 200, wire::encode_heartbeat_reply(fencing_token(*machine), commands));
}

// Returns the machine that sent the heartbeat; null if the request has already been answered.
Machine* WorkerManager::find_or_add_machine(RequestId id, const wire::WorkerHeartbeat& heartbeat) {
    // A late heartbeat must not add a machine again that the cloud has deleted.
    if (released_machines_.contains(heartbeat.host)) {
        context_.refuse(id, RefusalReason::machine_released);
        return nullptr;
    }
    if (auto* machine = state_.find_machine(heartbeat.host)) return machine;
    if (answer_unknown_worker(id, heartbeat)) return nullptr;
    // The machine comes from a scale-out request whose response was lost, or from before this term.
    // It is used, and scaled in when it is idle.
    context_.log(sansio::LogLevel::info, "event=unrecorded_machine host={}", heartbeat.host.get());
    return &state_.add_machine(heartbeat.host, heartbeat.machine_type, heartbeat.zone,
                               heartbeat.spot);
}

// A late heartbeat of a machine that no longer exists must not add it again. An unrecorded worker
// is therefore sent a token of this term first, and its machine is added only once a heartbeat
// carries a token of this term. Returns false if this heartbeat does; otherwise the request has
// been answered.
bool WorkerManager::answer_unknown_worker(RequestId id, const wire::WorkerHeartbeat& heartbeat) {
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

// Counts the consecutive replies after which the worker has not sent the current token: its
// heartbeats arrive, but the replies do not reach it.
void WorkerManager::count_unacknowledged_reply(Machine& machine) const {
    auto& worker = machine.worker;
    if (worker.acknowledged_token == fencing_token(machine)) {
        worker.unacknowledged_replies = 0;
    } else if (worker.unacknowledged_replies++ == 0) {
        worker.unacknowledged_since = context_.now();
    }
}

// ---- periodic work ----

void WorkerManager::tick() {
    if (context_.now() >= next_check_) {
        next_check_ = context_.now() + kCheckInterval;
        check_machines();
    }
    command_dispatcher_.tick();
}

void WorkerManager::check_machines() {
    std::erase_if(unknown_workers_, [&](const auto& worker) {
        return context_.now() - worker.second > kUnknownWorkerRetention;
    });
    for (auto& [host, machine] : state_.machines()) {
        leases_.remove_expired_placements(machine);
        // Tasks that were certainly not sent to an unresponsive machine are placed elsewhere.
        if (state::is_unresponsive(machine)) remove_placements_if(state_, machine, was_never_sent);
    }
}

}  // namespace dunebridge::workers
