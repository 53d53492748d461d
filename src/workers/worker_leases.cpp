#include "workers/worker_leases.hpp"

#include <cstdint>

#include "state/fencing_token.hpp"
#include "workers/placement_conditions.hpp"

namespace dunebridge::workers {

using state::Machine;
using state::term_of;

namespace {
// Upper bound on the factor by which workers' clocks may run slower than this node's.
constexpr double kMaxClockDrift = 1.002;
constexpr Millis kLeaseMargin{500};
}  // namespace

void WorkerLeases::observe_heartbeat(Machine& machine,
                                     const wire::WorkerHeartbeat& heartbeat) const {
    const auto& worker = machine.worker;
    // A new agent epoch has a new lease, which began with the epoch and therefore no later than
    // now.
    const bool new_epoch =
        worker.heartbeat_received && heartbeat.order.agent_epoch > worker.last_applied.agent_epoch;
    // Until the worker has sent a token of this term, an earlier leader could renew its lease.
    const bool first_of_term = term_of(heartbeat.token) == election_.term() &&
                               !liveness_.has_acknowledged_current_term(machine);
    if (new_epoch || first_of_term) renew(machine);
}

void WorkerLeases::renew(Machine& machine) const { machine.worker.last_reply_at = context_.now(); }

bool WorkerLeases::has_expired(const Machine& machine) const {
    if (!machine.worker.heartbeat_received || !liveness_.has_acknowledged_current_term(machine))
        return false;
    const auto lease_ms = static_cast<double>(config_.worker_lease.count()) * kMaxClockDrift;
    const auto max_lease = Millis(static_cast<std::int64_t>(lease_ms)) + kLeaseMargin;
    return context_.now() - machine.worker.last_reply_at > max_lease;
}

void WorkerLeases::remove_expired_placements(Machine& machine) {
    if (machine.placements.empty() || !has_expired(machine)) return;
    context_.log(sansio::LogLevel::info, "event=lease_expired host={} tasks={}", machine.host.get(),
                 machine.placements.size());
    remove_placements_if(state_, machine,
                         [](const auto& placement) { return placement.is_committed(); });
}

}  // namespace dunebridge::workers
