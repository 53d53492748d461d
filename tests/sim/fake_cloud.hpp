// A stand-in for the cloud, written from the protocol page.
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

class FakeCloud {
  public:
    struct Machine {
        wire::MachineListing row;
        Instant rented{};
        Instant gone = Instant::max();
        Instant failed = Instant::max();
    };
    struct Events {
        std::function<void(const wire::MachineListing&)> up;
        std::function<void(const MachineName&)> gone;
        std::function<void(const MachineName&)> returned;  // by the service, just before it is gone
    };

    FakeCloud(Clock& clock, std::vector<wire::MachineType> types, std::size_t most_machines,
              Millis list_lag, std::uint64_t seed, Events events);

    sansio::HttpResult handle(const std::string& method, const std::string& target,
                              const std::string& body);
    void set_outage(bool outage) { outage_ = outage; }
    // Calls a second above which it refuses, and the rows of a page of its list.
    void set_limits(double rps, std::size_t page) {
        rps_ = rps;
        page_ = page;
    }
    std::uint64_t refusals() const { return refusals_; }
    // Until then machines of the zone, or of all, take so many times as long to come up, or never
    // do so, that share of them.
    struct BootFault {
        double factor = 1;
        double never = 0;
        std::string zone;  // empty: all
        Instant until{};
    };
    void set_boot_fault(BootFault trouble) { boot_trouble_ = std::move(trouble); }
    void set_capacity(std::size_t most) { most_machines_ = most; }
    // The machine vanishes without the service's wish.
    void take(const MachineName& host);
    // The machine stops on its own and stays listed as failed.
    void fail(const MachineName& host);
    const std::vector<wire::MachineType>& types() const { return types_; }
    std::size_t alive() const;
    std::size_t rented() const { return machines_.size(); }

  private:
    bool over_rate();
    bool boot_trouble_in(const std::string& zone) const;
    sansio::HttpResult rent(const std::string& body);
    sansio::HttpResult remove(const std::string& body);
    sansio::HttpResult list(const std::string& target);

    Clock& clock_;
    std::vector<wire::MachineType> types_;
    std::size_t most_machines_;
    Millis list_lag_;
    std::mt19937_64 rng_;
    std::mt19937_64 trouble_rng_;  // its own, so that other days stay as they are
    BootFault boot_trouble_;
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
