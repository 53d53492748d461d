/// \file
/// Monitors requested machines until they have booted.
///
/// The expected boot time is estimated per machine type and zone from observed boots; the nominal
/// boot time that the cloud states is only the initial estimate. A machine that takes longer than
/// the estimate allows is overdue. It may then stop counting as capacity, so that a replacement is
/// requested. Two limits prevent request storms:
///  - Only a share of the fleet may be replaced at a time, in case the whole cloud is slow.
///  - A machine type in a zone is unhealthy if none of its machines has booted since an overdue one
///    was requested. Nothing is requested from it during a backoff that doubles up to a maximum.
///    After the backoff, a few machines at a time are requested as probes. The limit is lifted as
///    soon as a machine boots.
#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "provisioning/instance_pool.hpp"
#include "sansio/context.hpp"
#include "state/cluster_state.hpp"
#include "state/machine_type_catalog.hpp"

namespace dunebridge::provisioning {

/// Smoothed mean and mean deviation of boot times, estimated like the round-trip time for the TCP
/// retransmission timeout.
struct BootTimeEstimate {
    Seconds mean{0};
    Seconds deviation{0};
    bool has_samples = false;  ///< false: limit() uses the nominal time as the mean

    /// Adds an observed boot time. `nominal` is the boot time that the cloud states for the type.
    void observe(Seconds boot_time, Seconds nominal);
    /// Returns the time after which a machine that has not booted is overdue.
    Seconds limit(Seconds nominal) const;
};

/// Determines which booting machines are overdue, which of those may be replaced, and which pools
/// are unhealthy. Writes InstanceStatus::boot_tracked, overdue and replacement_allowed. Used only
/// on the leader. The objects passed by reference must outlive it.
class BootMonitor {
  public:
    BootMonitor(sansio::Context& context, state::ClusterState& cluster_state,
                const state::MachineTypeCatalog& machine_types)
        : context_(context), state_(cluster_state), machine_types_(machine_types) {}

    /// Resets the state for a new term: estimated boot times are kept, and all pools count as
    /// healthy until a machine is found overdue again.
    void reset();
    /// Updates the boot status of all machines. Must be called before the queries below.
    void update();
    /// Returns true if the machine was overdue at the last update() and a replacement may be
    /// requested.
    bool replacement_allowed(const state::Machine& machine) const;
    /// Returns the time since its request after which a machine that has not booted is released.
    Millis boot_timeout(const state::Machine& machine) const;
    /// Returns, for each unhealthy pool, how many more machines may be requested from it now.
    std::map<InstancePool, std::size_t> unhealthy_pool_limits() const;

  private:
    // Spot and on-demand machines share one boot time estimate and one health status.
    struct TypeInZone {
        std::string machine_type;
        std::string zone;
        auto operator<=>(const TypeInZone&) const = default;
    };
    // Boot statistics and health of one machine type in one zone.
    struct BootHealth {
        BootTimeEstimate boot_time;
        Instant last_boot_at{};  // when a machine last booted
        bool unhealthy = false;  // none has booted since an overdue one was requested
        Instant backoff_until{};
        Millis backoff{0};
        std::size_t booting = 0;  // machines booting and not overdue
    };

    void record_boot(state::Machine& machine);
    void check_overdue(state::Machine& machine);
    void record_overdue(const state::Machine& machine);
    void allow_replacements(std::size_t fleet_size);
    Seconds nominal_boot_time(const state::Machine& machine) const;
    BootHealth& health_of(const state::Machine& machine);

    sansio::Context& context_;
    state::ClusterState& state_;
    const state::MachineTypeCatalog& machine_types_;
    std::map<TypeInZone, BootHealth> boot_health_;
};

}  // namespace dunebridge::provisioning
