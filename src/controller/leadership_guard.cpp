#include "controller/leadership_guard.hpp"

#include <algorithm>

namespace dunebridge::controller {

namespace {
// Without any worker's report for so many intervals a leader counts as unreached.
constexpr int kMissedHeartbeats = 5;
// For how long another node may lead after that.
constexpr Millis kStandAside{20000};
constexpr int kIsolatedPercent = 35;  // of a worker's lease
}  // namespace

LeadershipGuard::LeadershipGuard(sansio::Context& port, const config::Config& config,
                                 const kv::KvClient& store, coordination::Election& election,
                                 const coordination::PeerMonitor& peers,
                                 state::ClusterState& cluster_state)
    : context_(port),
      config_(config),
      kv_client_(store),
      election_(election),
      peer_monitor_(peers),
      state_(cluster_state),
      max_cancellation_staleness_(config.max_cancellation_staleness()) {
    if (max_cancellation_staleness_ > config::Config::kMinCancellationStaleness) return;
    context_.log(sansio::LogLevel::error,
                 "event=cancellation_deadline_too_short cancel_s={} lease_s={}",
                 to_seconds(config_.cancellation_deadline), to_seconds(config_.worker_lease));
}

// Another may lead meanwhile: no lease is taken for over before the state service has answered.
bool LeadershipGuard::suspend_leadership_after_stall(Instant last_run) {
    const bool stalled =
        last_run != Instant{} && context_.now() - last_run >= config_.tuning.leader_lease;
    if (stalled) election_.suspend_leadership("it stood still");
    return stalled;
}

// It may long have been replaced. Its workers must not stay with it until their leases, renewed by
// it in vain, keep their tasks from the others: they are sent away in good time.
void LeadershipGuard::suspend_leadership_if_isolated() {
    if (config_.peers.empty() || kv_client_.reachable()) return;
    const auto alone =
        std::min(kv_client_.time_since_response(), context_.now() - peer_monitor_.last_heard());
    const auto limit = config_.worker_lease * kIsolatedPercent / 100;
    if (alone < std::max(config_.tuning.leader_lease, limit)) return;
    context_.log(sansio::LogLevel::info, "event=leader_isolated term={}", election_.term().get());
    election_.suspend_leadership("it is isolated");
}

// Neither directly nor through its peers.
void LeadershipGuard::resign_if_no_worker_heartbeats() {
    if (config_.peers.empty()) return;
    // No report in this term at all is no sign: all machines may be gone.
    Instant last_heartbeat_at{};
    for (const auto& [host, machine] : state_.machines()) {
        if (machine.instance.deleting) continue;
        last_heartbeat_at = std::max(last_heartbeat_at, machine.worker.last_heartbeat_at);
    }
    if (last_heartbeat_at == Instant{}) return;
    if (context_.now() - last_heartbeat_at < config_.heartbeat_interval * kMissedHeartbeats) return;
    context_.log(sansio::LogLevel::info, "event=no_worker_heartbeats term={}",
                 election_.term().get());
    election_.resign(kStandAside);
}

// docs/design.md, 'Cancellation': from the moment a user may have been shown a cancellation that
// this leader does not know, it renews leases for so long only that they end within `cancel_s`.
// What it knows is what it has read from the state service, or what every peer has acknowledged.
bool LeadershipGuard::may_renew_leases(Instant terminal_records_read_at) {
    const auto known = std::max(terminal_records_read_at,
                                peer_monitor_.cancellations_known_until(terminal_records_read_at));
    if (context_.now() - known <= max_cancellation_staleness_) return true;
    context_.log(sansio::LogLevel::error, "event=cancellations_stale term={} since_s={:.1f}",
                 election_.term().get(), to_seconds(context_.now() - known));
    return false;
}

}  // namespace dunebridge::controller
