#include "state/worker_liveness.hpp"

#include "state/fencing_token.hpp"

namespace dunebridge::state {

namespace {
// Delay of a heartbeat beyond its interval before it counts as missing.
constexpr Millis kHeartbeatTolerance{500};
}  // namespace

bool WorkerLiveness::is_schedulable(const Machine& machine) const {
    const auto& worker = machine.worker;
    const bool releasing = machine.worker.cordoned || machine.instance.deleting ||
                           machine.instance.failed || machine.worker.preemption_at.has_value();
    const bool is_reachable = worker.heartbeat_received && has_acknowledged_current_term(machine) &&
                              !is_late(machine) && !is_unresponsive(machine);
    // Direct commands do not renew the lease: without heartbeats it expires.
    const bool lease_recently_renewed =
        context_.now() - worker.last_reply_at <= config_.worker_lease / 2;
    return is_reachable && !releasing && lease_recently_renewed &&
           context_.now() >= worker.refusal_backoff_until;
}

bool WorkerLiveness::has_acknowledged_current_term(const Machine& machine) const {
    return term_of(machine.worker.acknowledged_token) == election_.term();
}

bool WorkerLiveness::is_silent(const Machine& machine, Millis limit) const {
    const auto& worker = machine.worker;
    const auto since = worker.heartbeat_received ? worker.last_heartbeat_at : worker.first_known_at;
    return context_.now() - since > limit;
}

bool WorkerLiveness::is_late(const Machine& machine) const {
    return is_silent(machine, config_.heartbeat_interval * 2 + kHeartbeatTolerance);
}

Millis WorkerLiveness::unresponsive_for(const Machine& machine) const {
    if (!is_unresponsive(machine)) return Millis(0);
    return context_.now() - machine.worker.unacknowledged_since;
}

}  // namespace dunebridge::state
