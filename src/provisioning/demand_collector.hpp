/// \file
/// Collects the pending tasks for which the fleet should be scaled out.
#pragma once

#include <vector>

#include "config/config.hpp"
#include "provisioning/boot_monitor.hpp"
#include "provisioning/scaling_plan.hpp"
#include "state/cluster_state.hpp"
#include "state/machine_type_catalog.hpp"
#include "state/run_time_estimator.hpp"

namespace dunebridge::provisioning {

/// Returns true if the machine does not count as capacity: it is being deleted, is cordoned, has a
/// preemption notice, or is overdue and may be replaced.
bool is_excluded_from_capacity(const state::Machine& machine, const BootMonitor& boot_monitor);

/// Collects the demand of all jobs that may run tasks. The objects passed by reference must outlive
/// it.
class DemandCollector {
  public:
    DemandCollector(state::ClusterState& cluster_state, const BootMonitor& boot_monitor,
                    const state::MachineTypeCatalog& machine_types,
                    const state::RunTimeEstimator& run_time_estimator, const config::Config& config)
        : state_(cluster_state),
          boot_monitor_(boot_monitor),
          machine_types_(machine_types),
          run_time_estimator_(run_time_estimator),
          config_(config) {}

    /// Returns the pending tasks that could be placed now if the fleet had enough machines, limited
    /// by the quotas of the teams.
    std::vector<Demand> collect() const;

  private:
    Demand demand_of(const state::Job& job) const;
    bool fits_existing_machine(const Demand& demand) const;

    state::ClusterState& state_;
    const BootMonitor& boot_monitor_;
    const state::MachineTypeCatalog& machine_types_;
    const state::RunTimeEstimator& run_time_estimator_;
    const config::Config& config_;
};

}  // namespace dunebridge::provisioning
