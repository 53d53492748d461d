#include "config/config.hpp"

#include <algorithm>

namespace dunebridge::config {

Millis Config::max_cancellation_staleness() const {
    constexpr double drift = 1.002;
    constexpr Millis margin{1000};
    const Millis longest(
        static_cast<std::int64_t>(static_cast<double>(worker_lease.count()) * drift));
    // Settings that leave nothing rest on the peers' heartbeats, which come every second.
    return std::max(cancellation_deadline - longest - margin, kMinCancellationStaleness);
}

const Team* Config::find_team(const std::string& team) const {
    const auto it =
        std::find_if(teams.begin(), teams.end(), [&](const Team& t) { return t.name == team; });
    return it == teams.end() ? nullptr : &*it;
}

}  // namespace dunebridge::config
