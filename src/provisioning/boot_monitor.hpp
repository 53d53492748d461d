// Follows the machines that have been rented and are not up yet.
//
// How long a machine may take is learnt for each type and zone from those that came up; the cloud's
// own figure is only the first estimate. A machine that takes longer is overdue: it no longer
// counts as capacity, so that another is rented, but only as many at a time as a stated share of
// the fleet, so that a cloud that is slow everywhere does not start a storm of rentals. A type and
// zone from which nothing has come since its overdue machines were rented is left alone for a time
// that doubles up to a limit, then asked for a few machines, and in full use again as soon as one
// comes up.
#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "provisioning/scaling_plan.hpp"
#include "sansio/context.hpp"
#include "state/cluster_state.hpp"
#include "state/machine_type_catalog.hpp"

namespace dunebridge::provisioning {

// A smoothed mean and mean deviation, as for a transport's retransmission timeout.
struct BootTimeEstimate {
    double mean_s = 0;
    double deviation_s = 0;
    bool learnt = false;

    void observe(double boot_s, double nominal_s);
    // After which a machine is overdue.
    double limit_s(double nominal_s) const;
};

class BootMonitor {
  public:
    BootMonitor(sansio::Context& port, state::ClusterState& cluster_state,
                const state::MachineTypeCatalog& types)
        : context_(port), state_(cluster_state), types_(types) {}

    // Another term begins: what was observed stays, what is under way is judged anew.
    void reset();
    // Looks at all machines.
    void update();
    // The machine has not come up in time, and another may be rented in its place.
    bool to_replace(const state::Machine& machine) const;
    // After so long a machine that has not come up is returned.
    Millis release_after(const state::Machine& machine) const;
    // How many machines may be rented now from the markets that have not delivered lately.
    std::map<InstancePool, std::size_t> allowances() const;

  private:
    struct Place {
        std::string machine_type;
        std::string zone;
        auto operator<=>(const Place&) const = default;
    };
    struct Health {
        BootTimeEstimate estimate;
        Instant last_delivery{};
        bool failing = false;  // nothing has come since overdue machines were rented
        Instant avoid_until{};
        Millis pause{0};
        std::size_t starting = 0;  // and not overdue
    };

    void record_boot(state::Machine& machine);
    void check_overdue(state::Machine& machine);
    void record_overdue(const state::Machine& machine);
    double nominal_s(const state::Machine& machine) const;
    const Health* find(const state::Machine& machine) const;

    sansio::Context& context_;
    state::ClusterState& state_;
    const state::MachineTypeCatalog& types_;
    std::map<Place, Health> places_;
};

}  // namespace dunebridge::provisioning
