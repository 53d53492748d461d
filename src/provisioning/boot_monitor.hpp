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

#include "core/ledger.hpp"
#include "core/port.hpp"
#include "provisioning/machine_types.hpp"
#include "provisioning/sizing.hpp"

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

class StartupMonitor {
  public:
    StartupMonitor(core::Port& port, core::Ledger& ledger, const MachineTypes& types)
        : port_(port), ledger_(ledger), types_(types) {}

    // Another term begins: what was observed stays, what is under way is judged anew.
    void reset();
    // Looks at all machines.
    void update();
    // The machine has not come up in time, and another may be rented in its place.
    bool to_replace(const core::Machine& machine) const;
    // After so long a machine that has not come up is returned.
    Millis give_up_after(const core::Machine& machine) const;
    // How many machines may be rented now from the markets that have not delivered lately.
    std::map<Market, std::size_t> allowances() const;

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

    void came_up(core::Machine& machine);
    void check_overdue(core::Machine& machine);
    void became_overdue(const core::Machine& machine);
    double nominal_s(const core::Machine& machine) const;
    const Health* find(const core::Machine& machine) const;

    core::Port& port_;
    core::Ledger& ledger_;
    const MachineTypes& types_;
    std::map<Place, Health> places_;
};

}  // namespace dunebridge::provisioning
