/// \file
/// Releases machines: those that the release policy names, and those that others ask for.
#pragma once

#include "config/config.hpp"
#include "provisioning/boot_monitor.hpp"
#include "provisioning/cloud_client.hpp"
#include "provisioning/machine_deleter.hpp"
#include "provisioning/release_policy.hpp"
#include "sansio/context.hpp"
#include "state/cluster_state.hpp"
#include "state/machine_type_catalog.hpp"
#include "state/released_machines.hpp"
#include "state/worker_liveness.hpp"

namespace dunebridge::provisioning {

/// Releases machines and deletes them in the cloud. Runs on the leader; the references must outlive
/// it.
class ScaleIn {
  public:
    ScaleIn(sansio::Context& context, CloudClient& cloud, state::ClusterState& cluster_state,
            const state::WorkerLiveness& liveness, state::ReleasedMachines& released_machines,
            const state::MachineTypeCatalog& machine_types, const BootMonitor& boot_monitor,
            const config::Config& config);

    /// Another term begins.
    void reset() { deleter_.reset(); }
    /// Applies the release policy to all machines, a few times a second at most. Also stops the
    /// tasks of machines that are about to leave the fleet.
    void check_machines();
    /// Marks the machine as being deleted and queues its deletion; does nothing if that has been
    /// done. Its tasks stay in the cluster state until the cloud confirms the deletion.
    void release(state::Machine& machine, ScaleInReason reason);
    /// Sends queued deletions.
    void send_deletions() { deleter_.send(); }

  private:
    void check_machine(state::Machine& machine);
    void update_capacity(state::Machine& machine) const;
    void stop_tasks_on_leaving_machine(state::Machine& machine);

    sansio::Context& context_;
    state::ClusterState& state_;
    const state::MachineTypeCatalog& machine_types_;
    ReleasePolicy policy_;
    MachineDeleter deleter_;
    Instant next_check_{};
};

}  // namespace dunebridge::provisioning
