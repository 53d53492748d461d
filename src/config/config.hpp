/// \file
/// The typed configuration of a controller, read once at startup. src/app/settings.cpp maps the
/// names used in the settings files to it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "base/types.hpp"
#include "config/job_cache_limits.hpp"
#include "config/kv_limits.hpp"
#include "config/peer_address.hpp"
#include "config/record_format.hpp"
#include "config/service_level_objective.hpp"
#include "config/socket_budget.hpp"
#include "config/team.hpp"
#include "config/tuning.hpp"

namespace dunebridge::config {

/// The configuration of a controller. Not changed after startup.
struct Config {
    /// \name This controller, its peers and the services it calls. Addresses are "host:port".
    /// @{
    ControllerName name;
    std::string zone;
    std::string public_addr;  ///< Listens for users, health probes and workers.
    std::string peer_addr;    ///< Listens for other controllers.
    std::vector<PeerAddress> peers;
    std::string cloud_addr;
    std::string kv_store_addr;  ///< Address of the key-value store.
    /// @}

    std::vector<std::string> zones;
    Millis clock_skew{0};
    std::vector<Team> teams;
    std::vector<ServiceLevelObjective> objectives;

    Millis heartbeat_interval{3000};  ///< Between heartbeats of a worker.
    Millis worker_lease{30000};       ///< A worker stops its tasks when its lease expires.
    /// The longest time that tasks of a cancelled job may run after the response to the user.
    Millis cancellation_deadline{60000};

    KvLimits kv_limits;
    /// The newest format of stored records that this controller reads and writes.
    std::uint64_t newest_record_format = kNewestFormat;

    double cloud_rps = 3;           ///< Requests per second that the cloud accepts.
    Millis machine_list_lag{8000};  ///< Largest age of the machine list that the cloud returns.

    /// \name Resource limits of the controller process.
    /// @{
    double cpu = 1;  ///< In cores.
    double memory_mb = 200;
    std::size_t fd_limit = 1024;  ///< Number of files, sockets included, that it may have open.
    /// @}

    JobCacheLimits job_cache;
    Tuning tuning;

    static constexpr Millis kMinCancellationStaleness{2000};
    /// Returns how long a leader that may have missed a cancellation may continue to renew worker
    /// leases. After the last renewal the leases must expire, even if the clocks drift, within
    /// `cancellation_deadline` of the response to the user. Never less than
    /// `kMinCancellationStaleness`.
    Millis max_cancellation_staleness() const;

    /// Returns the team with the given name, or null if there is none.
    const Team* find_team(const std::string& team) const;
};

}  // namespace dunebridge::config
