// Keeps the fleet as large as the work needs: rents machines, follows the cloud's list of them, and
// returns those that are idle or lost.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "cluster/election.hpp"
#include "core/config.hpp"
#include "core/ledger.hpp"
#include "core/port.hpp"
#include "provisioning/cloud_client.hpp"
#include "provisioning/machine_list.hpp"
#include "provisioning/machine_returns.hpp"
#include "provisioning/machine_types.hpp"
#include "provisioning/rentals.hpp"
#include "provisioning/run_times.hpp"
#include "provisioning/sizing.hpp"
#include "provisioning/startup_monitor.hpp"
#include "workers/workers.hpp"

namespace dunebridge::provisioning {

class Provisioner {
  public:
    Provisioner(core::Port& port, cluster::Election& election, core::Ledger& ledger,
                workers::Workers& workers, const core::Config& config);

    // On every node.
    void tick_types() { types_.tick(election_.is_leader()); }
    // On the leader, once its ledger is loaded.
    void tick();
    // Another term begins.
    void reset();

    const std::vector<wire::MachineType>& types() const { return types_.all(); }
    const wire::MachineType* type(const std::string& name) const { return types_.find(name); }
    RunTimes& run_times() { return run_times_; }

  private:
    void resize();
    void observe_load();
    SizingInput sizing_input();
    Capacity capacity_of(const core::Machine& machine) const;
    std::vector<Demand> demand() const;
    Demand demand_of(const core::Job& job) const;
    bool fits_some_machine(const Demand& demand) const;
    void warn_if_too_large(const SizingInput& input);
    void log_sizing(const SizingInput& input, const SizingPlan& plan) const;

    core::Port& port_;
    cluster::Election& election_;
    core::Ledger& ledger_;
    workers::Workers& workers_;
    const core::Config& config_;
    CloudClient cloud_;
    MachineTypes types_;
    RunTimes run_times_;
    StartupMonitor startups_;
    MachineReturns returns_;
    MachineList list_;
    Rentals rentals_;
    Instant next_resize_{};
    Instant no_return_before_{};
    Instant last_load_{};
    Instant next_warning_{};
    double load_cores_ = 0;  // lately observed average of cores in use
};

}  // namespace dunebridge::provisioning
