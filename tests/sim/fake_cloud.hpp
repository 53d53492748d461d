/// \file
/// A fake of the cloud's interface, written from its protocol page.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "sansio/context.hpp"
#include "sim/clock.hpp"
#include "wire/messages.hpp"

namespace dunebridge::sim {

/// Rents out and deletes machines in virtual time. Boot times vary, one machine in twenty never
/// boots, and lists may be out of date by up to twice the list lag.
class FakeCloud {
  public:
    /// A machine, from its scale-out request on.
    struct Machine {
        wire::ListedMachine row;
        Instant rented{};
        Instant gone = Instant::max();
        Instant failed = Instant::max();
    };
    /// Callbacks of the simulation.
    struct Events {
        std::function<void(const wire::ListedMachine&)> up;  ///< It has booted.
        std::function<void(const MachineName&)> gone;        ///< It has vanished or failed.
        std::function<void(const MachineName&)>
            returned;  ///< The service deletes it; called before `gone`.
    };

    FakeCloud(Clock& clock, std::vector<wire::MachineType> types, std::size_t most_machines,
              Millis list_lag, std::uint64_t seed, Events events);

    /// Carries out a request and returns its response at once.
    sansio::HttpResult handle(const std::string& method, const std::string& target,
                              const std::string& body);
    /// While set, every request gets status 503.
    void set_outage(bool outage) { outage_ = outage; }
    /// The rate in requests a second above which it answers 429, and the rows of a page of its
    /// list.
    void set_limits(double rps, std::size_t page) {
        rps_ = rps;
        page_ = page;
    }
    /// Requests refused for exceeding the rate.
    std::uint64_t refusals() const { return refusals_; }
    /// Until the given time, machines take `factor` times as long to boot, and the share `never` of
    /// them never does.
    struct BootFault {
        double factor = 1;
        double never = 0;
        std::string zone;  ///< Empty: all zones.
        Instant until{};
    };
    void set_boot_fault(BootFault fault) { boot_fault_ = std::move(fault); }
    /// The most machines alive at a time.
    void set_capacity(std::size_t most) { most_machines_ = most; }
    /// The machine vanishes, as a preempted spot machine does.
    void take(const MachineName& host);
    /// The machine fails and stays listed as failed.
    void fail(const MachineName& host);
    const std::vector<wire::MachineType>& types() const { return types_; }
    /// Machines rented that have neither vanished nor failed.
    std::size_t alive() const;
    /// Machines ever rented.
    std::size_t rented() const { return machines_.size(); }

  private:
    bool over_rate();
    bool boot_fault_in(const std::string& zone) const;
    sansio::HttpResult rent(const std::string& body);
    sansio::HttpResult remove(const std::string& body);
    sansio::HttpResult list(const std::string& target);

    Clock& clock_;
    std::vector<wire::MachineType> types_;
    std::size_t most_machines_;
    Millis list_lag_;
    std::mt19937_64 rng_;
    std::mt19937_64 fault_rng_;  // its own, so that scenarios without boot faults stay as they are
    BootFault boot_fault_;
    Events events_;
    bool outage_ = false;
    double rps_ = 0;  // 0: none
    double tokens_ = 0;
    Instant refilled_{};
    std::size_t page_ = 7;
    std::uint64_t refusals_ = 0;
    std::map<MachineName, Machine> machines_;
    std::map<std::string, std::string> claims_;
};

}  // namespace dunebridge::sim
