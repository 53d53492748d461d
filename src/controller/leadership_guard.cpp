#include "controller/leadership_guard.hpp"

#include <algorithm>

namespace dunebridge::controller {

namespace {
// Without any worker's report for so many intervals a leader counts as unreached.
constexpr int kMissedReports = 5;
// For how long another node may lead after that.
constexpr Millis kStandAside{20000};
constexpr int kIsolatedPercent = 35;  // of a worker's lease
}  // namespace

LeadershipRules::LeadershipRules(sansio::Port& port, const config::Config& config,
                                 const kv::Store& store, coordination::Election& election,
                                 const coordination::Peers& peers, state::Ledger& ledger)
    : port_(port),
      config_(config),
      store_(store),
      election_(election),
      peers_(peers),
      ledger_(ledger),
      max_unsure_(config.max_unsure()) {
    if (max_unsure_ > config::Config::kMinUnsure) return;
    port_.log(sansio::LogLevel::error, "event=cancel_short cancel_s={} lease_s={}",
              to_seconds(config_.cancel), to_seconds(config_.lease));
}

// Another may lead meanwhile: no lease is taken for over before the state service has answered.
bool LeadershipRules::step_back_after_stall(Instant last_run) {
    const bool stalled =
        last_run != Instant{} && port_.now() - last_run >= config_.tuning.leader_lease;
    if (stalled) election_.step_back("it stood still");
    return stalled;
}

// It may long have been replaced. Its workers must not stay with it until their leases, renewed by
// it in vain, keep their tasks from the others: they are sent away in good time.
void LeadershipRules::step_back_if_isolated() {
    if (config_.known.empty() || store_.reachable()) return;
    const auto alone = std::min(store_.silent_for(), port_.now() - peers_.last_heard());
    const auto limit = config_.lease * kIsolatedPercent / 100;
    if (alone < std::max(config_.tuning.leader_lease, limit)) return;
    port_.log(sansio::LogLevel::info, "event=isolated term={}", election_.term().get());
    election_.step_back("it is isolated");
}

// Neither directly nor through its peers.
void LeadershipRules::resign_if_unreached() {
    if (config_.known.empty()) return;
    // No report in this term at all is no sign: all machines may be gone.
    Instant last_report{};
    for (const auto& [host, machine] : ledger_.machines()) {
        if (machine.cloud.deleting) continue;
        last_report = std::max(last_report, machine.worker.last_report);
    }
    if (last_report == Instant{}) return;
    if (port_.now() - last_report < config_.report * kMissedReports) return;
    port_.log(sansio::LogLevel::info, "event=unreached term={}", election_.term().get());
    election_.resign(kStandAside);
}

// docs/design.md, 'Cancellation': from the moment a user may have been shown a cancellation that
// this leader does not know, it renews leases for so long only that they end within `cancel_s`.
// What it knows is what it has read from the state service, or what every peer has acknowledged.
bool LeadershipRules::may_renew_leases(Instant ends_read_at) {
    const auto known = std::max(ends_read_at, peers_.acknowledged_until(ends_read_at));
    if (port_.now() - known <= max_unsure_) return true;
    port_.log(sansio::LogLevel::error, "event=cancellations_unknown term={} since_s={:.1f}",
              election_.term().get(), to_seconds(port_.now() - known));
    return false;
}

}  // namespace dunebridge::controller
