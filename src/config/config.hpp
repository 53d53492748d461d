// Everything the core is configured with.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "base/types.hpp"
#include "config/kv_limits.hpp"
#include "config/record_format.hpp"
#include "wire/messages.hpp"

namespace dunebridge::config {

struct Team {
    std::string name;
    double cpus = 0;  // guaranteed; 0: none
    double gpus = 0;
    double cpus_max = 0;  // 0: no limit
    double gpus_max = 0;
};

struct ServiceLevelObjective {
    std::string kind;
    std::string job_class;
    double within_s = 0;
};

struct PeerAddress {
    ControllerName name;
    std::string zone;
    std::string back;  // address for the other controllers
};

// Operators' own settings (XML); the defaults are those measured in docs/measurements.md.
struct Tuning {
    // The priority line: jobs at or above it preempt best effort below it.
    wire::Priority preempts_from = wire::Priority::urgent;
    Millis slack{2000};         // added to a machine's earliest finish when ranking
    Millis leader_lease{3000};  // time to live of the leader's lease
    Millis idle_return{35000};  // a machine idle for so long is returned
    double headroom = 1.2;      // capacity kept, as a multiple of the observed load
};

// How the process's sockets are shared out, so that none of those it deals with can take the places
// of others. Some are left for the process itself.
struct SocketBudget {
    std::size_t service = 0;   // out, to the state service and the cloud
    std::size_t peers = 0;     // out, to other controllers
    std::size_t back = 0;      // in, from other controllers
    std::size_t front = 0;     // in, from users, health probes and workers
    std::size_t commands = 0;  // out, to workers; what `front` leaves free may be used besides

    explicit SocketBudget(std::size_t limit) {
        const auto share = [&](std::size_t part, std::size_t most) {
            return std::clamp<std::size_t>(limit / part, 2, most);
        };
        const auto own = share(10, 24);
        service = share(8, 64);
        peers = share(16, 64);
        back = share(16, 96);
        commands = limit / 6;
        front = limit - std::min(limit, own + service + peers + back + commands);
    }
    // As long as the front has so many connections.
    std::size_t commands_beside(std::size_t front_now) const {
        return commands + front - std::min(front, front_now);
    }
};

struct Config {
    ControllerName name;
    std::string zone;
    std::string public_addr;
    std::string peer_addr;
    std::vector<PeerAddress> peers;
    std::string cloud_addr;
    std::string state_addr;

    std::vector<std::string> zones;
    Millis clock_skew{0};
    std::vector<Team> teams;
    std::vector<ServiceLevelObjective> objectives;

    Millis heartbeat_interval{3000};
    Millis worker_lease{30000};
    Millis cancellation_deadline{60000};

    config::KvLimits kv_limits;
    // The newest format of the ledger that this node reads and writes.
    std::uint64_t newest_record_format = config::kNewestFormat;

    double cloud_rps = 3;
    Millis machine_list_lag{8000};

    double cpu = 1;
    double memory_mb = 200;
    std::size_t fd_limit = 1024;

    Tuning tuning;

    // For how long a leader that may have missed a cancellation may go on renewing leases: they
    // must end, with clocks that drift, within `cancel` of the moment at which the user was
    // answered.
    static constexpr Millis kMinCancellationStaleness{2000};
    Millis max_cancellation_staleness() const {
        constexpr double drift = 1.002;
        constexpr Millis margin{1000};
        const Millis longest(
            static_cast<std::int64_t>(static_cast<double>(worker_lease.count()) * drift));
        // Settings that leave nothing rest on the peers' heartbeats, which come every second.
        return std::max(cancellation_deadline - longest - margin, kMinCancellationStaleness);
    }

    // The team of that name, or null.
    const Team* find_team(const std::string& team) const {
        const auto it =
            std::find_if(teams.begin(), teams.end(), [&](const Team& t) { return t.name == team; });
        return it == teams.end() ? nullptr : &*it;
    }
};

}  // namespace dunebridge::config
