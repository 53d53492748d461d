/// \file
/// Follows the machines that have been requested and have not come up yet.
///
/// How long a boot may take is learnt for each machine type and zone from the machines that
/// came up; the cloud's own figure is only the first estimate. A machine that takes longer is
/// overdue. An overdue machine no longer counts as capacity, so that the fleet is scaled out by
/// another in its place. Two bounds guard against request storms:
///  - only a share of the fleet may be replaced at a time, for clouds that are slow everywhere;
///  - a type and zone from which nothing has come since its machines became overdue is unhealthy.
///    Nothing is requested from it for a backoff time that doubles up to a limit; after that, a few
///    machines at a time as probes; and without bounds again as soon as one comes up.
#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "provisioning/instance_pool.hpp"
#include "sansio/context.hpp"
#include "state/cluster_state.hpp"
#include "state/machine_type_catalog.hpp"

namespace dunebridge::provisioning {

/// Smoothed mean and mean deviation of boot times, as for a transport's retransmission timeout.
struct BootTimeEstimate {
    Seconds mean{0};
    Seconds deviation{0};
    bool has_samples = false;  ///< false: nothing observed, the nominal time stands for the mean

    /// A machine came up after this boot time, where the cloud states the nominal one.
    void observe(Seconds boot_time, Seconds nominal);
    /// The time after which a machine that is not up is overdue.
    Seconds limit(Seconds nominal) const;
};

/// Judges machines that boot: which are overdue, which may be replaced, and which pools are
/// unhealthy. Writes InstanceStatus::boot_tracked, overdue and replacement_allowed. Used by the
/// leader alone; the references must outlive it.
class BootMonitor {
  public:
    BootMonitor(sansio::Context& context, state::ClusterState& cluster_state,
                const state::MachineTypeCatalog& machine_types)
        : context_(context), state_(cluster_state), machine_types_(machine_types) {}

    /// Another term begins: learnt boot times are kept, pools count as healthy until machines
    /// are judged anew.
    void reset();
    /// Judges all machines. To be called before the results below are used.
    void update();
    /// Whether the machine is overdue and another may be requested in its place, as of the last
    /// update().
    bool replacement_allowed(const state::Machine& machine) const;
    /// The time since its request after which a machine that has not come up is released.
    Millis boot_timeout(const state::Machine& machine) const;
    /// For each pool that is unhealthy, how many more machines may be requested from it now.
    std::map<InstancePool, std::size_t> unhealthy_pool_limits() const;

  private:
    // Boots are judged for spot and on-demand machines together.
    struct TypeInZone {
        std::string machine_type;
        std::string zone;
        auto operator<=>(const TypeInZone&) const = default;
    };
    struct BootHealth {
        BootTimeEstimate boot_time;
        Instant last_boot_at{};  // when a machine last came up
        bool unhealthy = false;  // nothing has come up since overdue machines were requested
        Instant backoff_until{};
        Millis backoff{0};
        std::size_t booting = 0;  // and not overdue
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
