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
#include "provisioning/machine_type_fetcher.hpp"
#include "provisioning/scale_in.hpp"
#include "provisioning/scale_out.hpp"
#include "provisioning/scaling_plan.hpp"
#include "sansio/context.hpp"
#include "state/cluster_state.hpp"
#include "state/machine_type_catalog.hpp"
#include "state/released_machines.hpp"
#include "state/run_time_estimator.hpp"
#include "state/worker_liveness.hpp"

namespace dunebridge::provisioning {

class Provisioner {
  public:
    Provisioner(sansio::Context& port, coordination::Election& election,
                state::ClusterState& cluster_state, const state::WorkerLiveness& liveness,
                state::ReleasedMachines& released_machines,
                state::MachineTypeCatalog& machine_types,
                const state::RunTimeEstimator& run_time_estimator, const config::Config& config);

    // On every node.
    void tick_machine_types() { machine_type_fetcher_.tick(election_.is_leader()); }
    // On the leader, once its ledger is loaded.
    void tick();
    // Another term begins.
    void reset();

  private:
    void resize();
    void observe_load();
    ScalingInput sizing_input();
    MachineCapacity capacity_of(const state::Machine& machine) const;
    std::vector<Demand> demand() const;
    Demand demand_of(const state::Job& job) const;
    bool fits_some_machine(const Demand& demand) const;
    void warn_if_too_large(const ScalingInput& input);
    void log_sizing(const ScalingInput& input, const ScalingPlan& plan) const;

    sansio::Context& context_;
    coordination::Election& election_;
    state::ClusterState& state_;
    const state::WorkerLiveness& liveness_;
    const state::MachineTypeCatalog& types_;
    const state::RunTimeEstimator& run_time_estimator_;
    const config::Config& config_;
    CloudClient cloud_;
    MachineTypeFetcher machine_type_fetcher_;
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
