/// \file
/// Finds jobs that wait although a machine could run them.
#pragma once

#include <map>
#include <string>

#include "sim/simulated_network.hpp"
#include "sim/simulated_users.hpp"

namespace dunebridge::sim {

/// Checks, once the last fault is over, that no task waits for 90 s while it would fit a machine
/// and its team's quota.
class StarvationChecker {
  public:
    StarvationChecker(Simulation& simulation, Machines& machines, SimulatedUsers& users,
                      const SimulatedNetwork& network);
    void check();

  private:
    /// What is on the machines now.
    struct Usage {
        std::map<std::string, double> teams;                          ///< Cores by team.
        std::map<MachineName, double> hosts;                          ///< Cores by machine.
        std::map<JobId, std::map<std::string, std::uint32_t>> zones;  ///< Tasks by job and zone.
        std::map<JobId, std::size_t> running;
    };
    Usage usage();
    bool could_start(const SimulatedUser& user, Usage& usage);
    static bool starts_gradually(const SimulatedUser& user);

    Simulation& sim_;
    Machines& workers_;
    SimulatedUsers& users_;
    const SimulatedNetwork& network_;
    Instant next_check_{};
};

}  // namespace dunebridge::sim
