#include "controller/leadership_guard.hpp"

#include <algorithm>

namespace dunebridge::controller {

namespace {
// After this number of heartbeat intervals without a heartbeat from any worker, the workers are
// assumed not to reach the leader.
constexpr int kMaxMissedHeartbeats = 5;
// A leader that resigns for this reason does not campaign for this time, so that another controller
// can lead.
constexpr Millis kResignCooldown{20000};
// How long a leader may be isolated, in percent of a worker's lease.
constexpr int kIsolationLimitPercent = 35;
}  // namespace

LeadershipGuard::LeadershipGuard(sansio::Context& context, const config::Config& config,
                                 const kv::KvClient& kv_client, coordination::Election& election,
                                 const coordination::PeerMonitor& peer_monitor,
                                 state::ClusterState& cluster_state)
    : context_(context),
      config_(config),
      kv_client_(kv_client),
      election_(election),
      peer_monitor_(peer_monitor),
      state_(cluster_state),
      max_cancellation_staleness_(config.max_cancellation_staleness()) {
    if (max_cancellation_staleness_ > config::Config::kMinCancellationStaleness) return;
    context_.log(sansio::LogLevel::error,
                 "event=cancellation_deadline_too_short cancel_s={} lease_s={}",
                 to_seconds(config_.cancellation_deadline), to_seconds(config_.worker_lease));
}

bool LeadershipGuard::suspend_leadership_after_stall(Instant last_apply_at) {
    const bool stalled =
        last_apply_at != Instant{} && context_.now() - last_apply_at >= config_.tuning.leader_lease;
    if (stalled) election_.suspend_leadership(coordination::StepDownReason::event_loop_stall);
    return stalled;
}

// Another controller may have become the leader long ago. As long as this one renews leases, the
// new leader cannot run the tasks of those workers elsewhere. Refusing their heartbeats makes the
// workers look for another leader before their leases expire.
void LeadershipGuard::suspend_leadership_if_isolated() {
    if (config_.peers.empty() || kv_client_.reachable()) return;
    const auto isolated_for =
        std::min(kv_client_.time_since_response(), context_.now() - peer_monitor_.last_heard());
    const auto limit = config_.worker_lease * kIsolationLimitPercent / 100;
    if (isolated_for < std::max(config_.tuning.leader_lease, limit)) return;
    context_.log(sansio::LogLevel::info, "event=leader_isolated term={}", election_.term().get());
    election_.suspend_leadership(coordination::StepDownReason::isolated);
}

void LeadershipGuard::resign_if_no_worker_heartbeats() {
    if (config_.peers.empty()) return;
    // If there was no heartbeat at all in this term, there may be no machines left, so nothing can
    // be concluded from it.
    Instant last_heartbeat_at{};
    for (const auto& [host, machine] : state_.machines()) {
        if (machine.instance.deleting) continue;
        last_heartbeat_at = std::max(last_heartbeat_at, machine.worker.last_heartbeat_at);
    }
    if (last_heartbeat_at == Instant{}) return;
    if (context_.now() - last_heartbeat_at < config_.heartbeat_interval * kMaxMissedHeartbeats)
        return;
    context_.log(sansio::LogLevel::info, "event=no_worker_heartbeats term={}",
                 election_.term().get());
    election_.resign(kResignCooldown);
}

// See docs/design.md, 'Cancellation'. A peer may have reported a cancellation to a user that this
// leader does not know of. From that moment the leader may renew leases only for as long as they
// still expire within the cancellation deadline. The leader knows the cancellations that it has
// read from the key-value store, and those that every peer has acknowledged.
bool LeadershipGuard::may_renew_leases(Instant terminal_records_read_at) {
    const auto known = std::max(terminal_records_read_at,
                                peer_monitor_.cancellations_known_until(terminal_records_read_at));
    if (context_.now() - known <= max_cancellation_staleness_) return true;
    context_.log(sansio::LogLevel::error, "event=cancellations_stale term={} since_s={:.1f}",
                 election_.term().get(), to_seconds(context_.now() - known));
    return false;
}

}  // namespace dunebridge::controller
