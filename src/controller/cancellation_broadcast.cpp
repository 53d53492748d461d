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
    const bool is_active_leader = election_.is_leader() && state_.loaded();
    if (is_new && is_active_leader) apply_to_cluster_state(job);
}

void CancellationBroadcast::notify_leader(const JobId& job, std::function<void()> on_completed) {
    record(job);
    const auto leader = leader_to_notify();
    if (leader.get().empty()) {
        on_completed();
    } else {
        peer_monitor_.send_heartbeat(leader, std::move(on_completed));
    }
}

void CancellationBroadcast::apply_log() {
    for (const auto& job : cancellation_log_.retained().jobs) apply_to_cluster_state(job);
}

void CancellationBroadcast::apply_to_cluster_state(const JobId& job) {
    state_.mark_terminal(job, context_.wall_ms());
    state_.handle_job_end(job, wire::JobPhase::cancelled);
}

// The leader among the peers; empty if there is none or this controller is the leader. A newly
// elected leader reports its leadership in heartbeats only after it has loaded the cluster state,
// and may start tasks immediately afterwards. The leader key names it earlier, so the key is used
// while no heartbeat names a leader.
ControllerName CancellationBroadcast::leader_to_notify() const {
    if (election_.is_leader()) return ControllerName();
    const auto leader = peer_monitor_.leader();
    return leader.get().empty() ? election_.observed_leader() : leader;
}

}  // namespace dunebridge::controller
