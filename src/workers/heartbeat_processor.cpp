#include "workers/heartbeat_processor.hpp"

#include <algorithm>
#include <utility>

#include "state/fencing_token.hpp"

namespace dunebridge::workers {

using sansio::LogLevel;
using state::Machine;
using wire::WorkerHeartbeat;

HeartbeatProcessor::HeartbeatProcessor(sansio::Context& context, coordination::Election& election,
                                       state::ClusterState& cluster_state,
                                       const WorkerLeases& leases,
                                       OnTaskCompleted on_task_completed)
    : context_(context),
      election_(election),
      state_(cluster_state),
      leases_(leases),
      task_status_processor_(context, election, cluster_state, std::move(on_task_completed)),
      reconciler_(election, cluster_state) {}

bool HeartbeatProcessor::apply(Machine& machine, const WorkerHeartbeat& heartbeat,
                               ExchangeKind exchange) {
    const auto& worker = machine.worker;
    if (heartbeat.token > state::make_token(election_.term(), worker.fence_counter)) {
        election_.observe_newer_term(state::term_of(heartbeat.token));
        return false;
    }
    // The heartbeat was delayed in transit: a newer one has already been applied.
    if (worker.heartbeat_received && heartbeat.order <= worker.last_applied) return true;
    leases_.observe_heartbeat(machine, heartbeat);
    update_worker_status(machine, heartbeat);
    if (heartbeat.eviction_s) {
        apply_preemption_notice(machine, from_seconds(*heartbeat.eviction_s));
    }
    task_status_processor_.apply(machine, heartbeat);
    reconciler_.reconcile(machine, heartbeat, exchange);
    return true;
}

void HeartbeatProcessor::update_worker_status(Machine& machine, const WorkerHeartbeat& heartbeat) {
    auto& worker = machine.worker;
    if (!worker.heartbeat_received) {
        context_.log(LogLevel::info, "event=machine_up host={} type={} after_s={:.1f}",
                     machine.host.get(), machine.machine_type,
                     to_seconds(context_.now() - machine.instance.provisioned_at));
        machine.idle_since = context_.now();
    }
    worker.heartbeat_received = true;
    worker.last_applied = heartbeat.order;
    worker.acknowledged_token = heartbeat.token;
    worker.last_heartbeat_at = context_.now();
    machine.worker.endpoint = heartbeat.endpoint;
    machine.instance.starting = false;
    state_.set_machine_properties(machine, heartbeat.machine_type, heartbeat.zone, heartbeat.spot);
}

void HeartbeatProcessor::apply_preemption_notice(Machine& machine, Millis until_preemption) {
    auto& preemption_at = machine.worker.preemption_at;
    const auto at = context_.now() + until_preemption;
    if (!preemption_at) {
        context_.log(LogLevel::info, "event=preemption_notice host={} in_s={:.1f}",
                     machine.host.get(), to_seconds(until_preemption));
    }
    preemption_at = std::min(preemption_at.value_or(at), at);
}

}  // namespace dunebridge::workers
