#include "config/config.hpp"

#include <algorithm>

namespace dunebridge::config {

Millis Config::max_cancellation_staleness() const {
    constexpr double drift_factor = 1.002;
    constexpr Millis margin{1000};
    const Millis longest_lease(
        static_cast<std::int64_t>(static_cast<double>(worker_lease.count()) * drift_factor));
    // If the settings leave less time than the minimum, the leader relies on the heartbeats that it
    // exchanges with its peers (PeerMonitor) to learn of cancellations.
    return std::max(cancellation_deadline - longest_lease - margin, kMinCancellationStaleness);
}

const Team* Config::find_team(const std::string& team) const {
    const auto it =
        std::find_if(teams.begin(), teams.end(), [&](const Team& t) { return t.name == team; });
    return it == teams.end() ? nullptr : &*it;
}

}  // namespace dunebridge::config
