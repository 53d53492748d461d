#include "controller/cancellation_broadcast.hpp"

#include <utility>

namespace dunebridge::controller {

CancellationBroadcast::CancellationBroadcast(sansio::Context& context,
                                             const coordination::Election& election,
                                             coordination::CancellationLog& cancellation_log,
                                             coordination::PeerMonitor& peer_monitor,
                                             state::ClusterState& cluster_state)
    : context_(context),
      election_(election),
      cancellation_log_(cancellation_log),
      peer_monitor_(peer_monitor),
      state_(cluster_state) {}

void CancellationBroadcast::record(const JobId& job) {
    const bool is_new = cancellation_log_.append(job);
    const bool leads = election_.is_leader() && state_.loaded();
    if (is_new && leads) apply(job);
}

void CancellationBroadcast::broadcast(const JobId& job, std::function<void()> then) {
    record(job);
    const auto leader = leader_to_notify();
    if (leader.get().empty()) {
        then();
    } else {
        peer_monitor_.send_heartbeat(leader, std::move(then));
    }
}

void CancellationBroadcast::apply_log() {
    for (const auto& job : cancellation_log_.retained().jobs) apply(job);
}

void CancellationBroadcast::apply(const JobId& job) {
    state_.mark_terminal(job, context_.wall_ms());
    state_.handle_job_end(job, wire::JobPhase::cancelled);
}

// The peer that leads; empty if there is none or it is this node. A leader that has just been
// elected says so only once it has loaded the cluster state, and starts tasks in the next moment:
// the election's record names it earlier than its heartbeats do.
ControllerName CancellationBroadcast::leader_to_notify() const {
    if (election_.is_leader()) return ControllerName();
    const auto leader = peer_monitor_.leader();
    return leader.get().empty() ? election_.observed_leader() : leader;
}

}  // namespace dunebridge::controller
