/// \file
/// The typed configuration of a controller, read once at its start. The settings files' own names
/// are mapped to it in src/app/settings.cpp.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "base/types.hpp"
#include "config/kv_limits.hpp"
#include "config/peer_address.hpp"
#include "config/record_format.hpp"
#include "config/service_level_objective.hpp"
#include "config/socket_budget.hpp"
#include "config/team.hpp"
#include "config/tuning.hpp"

namespace dunebridge::config {

/// Everything a controller is configured with. Immutable after start.
struct Config {
    /// \name This controller and the others. Addresses are "host:port".
    /// @{
    ControllerName name;
    std::string zone;
    std::string public_addr;  ///< Of users, health probes and workers.
    std::string peer_addr;    ///< Of other controllers.
    std::vector<PeerAddress> peers;
    std::string cloud_addr;
    std::string kv_store_addr;  ///< Of the key-value store.
    /// @}

    std::vector<std::string> zones;
    Millis clock_skew{0};
    std::vector<Team> teams;
    std::vector<ServiceLevelObjective> objectives;

    Millis heartbeat_interval{3000};  ///< Of workers.
    Millis worker_lease{30000};       ///< A worker stops its tasks when its lease expires.
    /// Tasks of a cancelled job run for no longer than this after the user has been answered.
    Millis cancellation_deadline{60000};

    KvLimits kv_limits;
    /// The newest format of stored records that this node reads and writes.
    std::uint64_t newest_record_format = kNewestFormat;

    double cloud_rps = 3;           ///< Requests a second that the cloud accepts.
    Millis machine_list_lag{8000};  ///< The cloud's list may be so old.

    /// \name What the process itself may use.
    /// @{
    double cpu = 1;  ///< In cores.
    double memory_mb = 200;
    std::size_t fd_limit = 1024;
    /// @}

    Tuning tuning;

    static constexpr Millis kMinCancellationStaleness{2000};
    /// For how long a leader that may have missed a cancellation may go on renewing leases: they
    /// must expire, with clocks that drift, within `cancellation_deadline` of the moment at which
    /// the user was answered.
    Millis max_cancellation_staleness() const;

    /// The team of that name; null if there is none.
    const Team* find_team(const std::string& team) const;
};

}  // namespace dunebridge::config
