/// \file
/// Scales the fleet out and in with the load.
#pragma once

#include "config/config.hpp"
#include "coordination/election.hpp"
#include "provisioning/boot_monitor.hpp"
#include "provisioning/cloud_client.hpp"
#include "provisioning/demand_collector.hpp"
#include "provisioning/load_average.hpp"
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

/// Runs all parts that use the cloud: requests machines, reads the cloud's machine list, and
/// releases machines that are idle or lost. The objects passed by reference must outlive it.
class Provisioner {
  public:
    Provisioner(sansio::Context& context, coordination::Election& election,
                state::ClusterState& cluster_state, const state::WorkerLiveness& liveness,
                state::ReleasedMachines& released_machines,
                state::MachineTypeCatalog& machine_types,
                const state::RunTimeEstimator& run_time_estimator, const config::Config& config);

    /// Keeps the machine types up to date. Must be called on every node in every iteration of the
    /// event loop.
    void tick_machine_types() { machine_type_fetcher_.tick(election_.is_leader()); }
    /// Performs all provisioning work that is due. Must be called on the leader in every iteration
    /// of the event loop, once the cluster state is loaded.
    void tick();
    /// Resets the state for a new term. Estimated boot times are kept. No idle machine is released
    /// until the load has been observed for some time.
    void reset();

  private:
    void resize_fleet();
    ScalingInput scaling_input();
    MachineCapacity capacity_of(const state::Machine& machine) const;
    void warn_if_too_few_sockets(const ScalingInput& input);
    void log_plan(const ScalingInput& input, const ScalingPlan& plan) const;
    void execute(const ScalingPlan& plan);

    sansio::Context& context_;
    coordination::Election& election_;
    state::ClusterState& state_;
    const state::WorkerLiveness& liveness_;
    const state::MachineTypeCatalog& machine_types_;
    const config::Config& config_;
    CloudClient cloud_;
    MachineTypeFetcher machine_type_fetcher_;
    BootMonitor boot_monitor_;
    DemandCollector demand_collector_;
    LoadAverage load_average_;
    ScaleIn scale_in_;
    MachineInventory inventory_;
    ScaleOut scale_out_;
    Instant next_resize_{};
    Instant no_idle_release_before_{};
    Instant next_socket_warning_{};
};

}  // namespace dunebridge::provisioning
