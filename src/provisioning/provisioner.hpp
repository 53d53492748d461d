// Keeps the fleet as large as the work needs: rents machines, follows the cloud's list of them, and
// returns those that are idle or lost.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "config/config.hpp"
#include "coordination/election.hpp"
#include "provisioning/boot_monitor.hpp"
#include "provisioning/cloud_client.hpp"
#include "provisioning/machine_inventory.hpp"
#include "provisioning/machine_type_catalog.hpp"
#include "provisioning/scale_in.hpp"
#include "provisioning/scale_out.hpp"
#include "provisioning/scaling_plan.hpp"
#include "sansio/context.hpp"
#include "state/cluster_state.hpp"
#include "state/run_time_estimator.hpp"
#include "workers/worker_manager.hpp"

namespace dunebridge::provisioning {

class Provisioner {
  public:
    Provisioner(sansio::Context& port, coordination::Election& election,
                state::ClusterState& cluster_state, workers::WorkerManager& workers,
                const config::Config& config);

    // On every node.
    void tick_types() { types_.tick(election_.is_leader()); }
    // On the leader, once its ledger is loaded.
    void tick();
    // Another term begins.
    void reset();

    const std::vector<wire::MachineType>& types() const { return types_.all(); }
    const wire::MachineType* type(const std::string& name) const { return types_.find(name); }
    state::RunTimeEstimator& run_times() { return run_time_estimator_; }

  private:
    void resize();
    void observe_load();
    ScalingInput sizing_input();
    Capacity capacity_of(const state::Machine& machine) const;
    std::vector<Demand> demand() const;
    Demand demand_of(const state::Job& job) const;
    bool fits_some_machine(const Demand& demand) const;
    void warn_if_too_large(const ScalingInput& input);
    void log_sizing(const ScalingInput& input, const ScalingPlan& plan) const;

    sansio::Context& context_;
    coordination::Election& election_;
    state::ClusterState& state_;
    workers::WorkerManager& workers_;
    const config::Config& config_;
    CloudClient cloud_;
    MachineTypeCatalog types_;
    state::RunTimeEstimator run_time_estimator_;
    BootMonitor boot_monitor_;
    ScaleIn scale_in_;
    MachineInventory list_;
    ScaleOut scale_outs_;
    Instant next_resize_{};
    Instant no_return_before_{};
    Instant last_load_{};
    Instant next_warning_{};
    double load_cores_ = 0;  // lately observed average of cores in use
};

}  // namespace dunebridge::provisioning
