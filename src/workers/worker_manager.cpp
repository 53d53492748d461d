#include "workers/worker_manager.hpp"

#include <algorithm>
#include <utility>
#include <vector>

#include "state/fencing_token.hpp"

namespace dunebridge::workers {

using sansio::LogLevel;
using state::Machine;
using state::make_token;
using state::PlacementKey;
using state::term_of;

namespace {
// Clocks of workers may run slower than this one's, by so much.
constexpr double kDrift = 1.002;
constexpr Millis kLeaseMargin{500};
constexpr Millis kCheckEvery{250};
// A bound on memory only, several times the largest fleet: after an answer of the cloud was lost,
// or while the list is late, all machines may be unknown at once.
constexpr std::size_t kMaxUnknownWorkers = 20000;
constexpr Millis kForgetUnknownWorkers{60000};
constexpr int kRetryAfter_s = 1;
}  // namespace

WorkerManager::WorkerManager(sansio::Context& context, coordination::Election& election,
                             state::ClusterState& cluster_state,
                             const state::WorkerLiveness& liveness,
                             const state::ReleasedMachines& released_machines,
                             const config::Config& config,
                             std::function<void(const CompletedTask&)> on_task_completed)
    : context_(context),
      election_(election),
      state_(cluster_state),
      liveness_(liveness),
      released_machines_(released_machines),
      config_(config),
      heartbeat_processor_(context, election, cluster_state, std::move(on_task_completed)),
      command_dispatcher_(context, election, cluster_state, config, heartbeat_processor_) {}

void WorkerManager::reset() { unknown_workers_.clear(); }

FencingToken WorkerManager::token(const Machine& machine) const {
    return make_token(election_.term(), machine.worker.fence_counter);
}

// ---- check-ins ----

void WorkerManager::answer_unavailable(RequestId id, const char* why) {
    context_.answer(id, 503, wire::encode_error(why), kRetryAfter_s);
}

void WorkerManager::handle_heartbeat(RequestId id, const wire::WorkerHeartbeat& heartbeat) {
    auto* machine = find_or_add_machine(id, heartbeat);
    if (!machine) return;
    auto& worker = machine->worker;
    // A worker's check-ins come in order, one at a time: this is a late copy, or one that it has
    // given up. Nobody waits for the answer, and it must not count as one.
    if (worker.heartbeat_received && heartbeat.order <= worker.last_heartbeat_request) {
        answer_unavailable(id, "overtaken");
        return;
    }
    worker.last_heartbeat_request = heartbeat.order;
    if (!heartbeat_processor_.apply(*machine, heartbeat, ExchangeKind::heartbeat)) {
        answer_unavailable(id, "superseded");
        return;
    }
    count_unacknowledged(*machine);
    worker.last_reply_at = context_.now();
    // The worker has given up on a report that newer ones overtook: it will not read the answer.
    std::vector<wire::TaskCommand> commands;
    if (worker.last == heartbeat.order)
        commands = command_dispatcher_.commands(*machine, ExchangeKind::heartbeat);
    context_.answer(id, 200, wire::encode_heartbeat_reply(token(*machine), commands));
}

// The machine that reports; null if the request is answered already.
Machine* WorkerManager::find_or_add_machine(RequestId id, const wire::WorkerHeartbeat& heartbeat) {
    if (released_machines_.contains(heartbeat.host)) {
        answer_unavailable(id, "returned");
        return nullptr;
    }
    if (auto* known = state_.find_machine(heartbeat.host)) return known;
    if (answer_unknown_worker(id, heartbeat)) return nullptr;
    // Rented by a request whose answer was lost, or before this term: used, or returned idle.
    context_.log(LogLevel::info, "event=unrecorded_machine host={}", heartbeat.host.get());
    return &state_.add_machine(heartbeat.host, heartbeat.machine_type, heartbeat.zone,
                               heartbeat.spot);
}

void WorkerManager::count_unacknowledged(Machine& machine) const {
    auto& worker = machine.worker;
    if (worker.acknowledged_token == token(machine)) {
        worker.unacknowledged_replies = 0;
    } else if (worker.unacknowledged_replies++ == 0) {
        worker.unacknowledged_since = context_.now();
    }
}

// A host that no record names: a late report of a machine that is long gone must not bring it
// back. It is given the token, and used once it shows it.
bool WorkerManager::answer_unknown_worker(RequestId id, const wire::WorkerHeartbeat& heartbeat) {
    if (term_of(heartbeat.token) == election_.term()) {
        unknown_workers_.erase(heartbeat.host);
        return false;
    }
    if (unknown_workers_.size() >= kMaxUnknownWorkers &&
        !unknown_workers_.contains(heartbeat.host)) {
        answer_unavailable(id, "too many unknown workers");
        return true;
    }
    unknown_workers_.try_emplace(heartbeat.host, context_.now());
    context_.answer(id, 200, wire::encode_heartbeat_reply(make_token(election_.term(), 0), {}));
    return true;
}

// ---- time ----

void WorkerManager::expire_lease(Machine& machine) {
    if (!machine.worker.heartbeat_received || !liveness_.has_shown_this_term(machine)) return;
    const auto lease_ms = static_cast<double>(config_.worker_lease.count()) * kDrift;
    const auto lease = Millis(static_cast<std::int64_t>(lease_ms)) + kLeaseMargin;
    if (context_.now() - machine.worker.last_reply_at <= lease || machine.tasks.empty()) return;
    context_.log(LogLevel::info, "event=lease_expired host={} tasks={}", machine.host.get(),
                 machine.tasks.size());
    std::vector<PlacementKey> gone;
    for (const auto& [key, placement] : machine.tasks) {
        if (placement.committed) gone.push_back(key);
    }
    for (const auto& key : gone) state_.remove(machine, key);
}

void WorkerManager::check_machines() {
    std::erase_if(unknown_workers_, [&](const auto& worker) {
        return context_.now() - worker.second > kForgetUnknownWorkers;
    });
    for (auto& [host, machine] : state_.machines()) {
        expire_lease(machine);
        if (state::is_unresponsive(machine)) command_dispatcher_.remove_unsent_placements(machine);
    }
}

void WorkerManager::tick() {
    if (context_.now() >= next_check_) {
        next_check_ = context_.now() + kCheckEvery;
        check_machines();
    }
    command_dispatcher_.tick();
}

}  // namespace dunebridge::workers
