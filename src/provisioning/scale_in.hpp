/// \file
/// Releases machines that the release policy selects or that a caller names.
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

/// Releases machines and deletes them in the cloud. Runs on the leader. The objects passed by
/// reference must outlive it.
class ScaleIn {
  public:
    ScaleIn(sansio::Context& context, CloudClient& cloud, state::ClusterState& cluster_state,
            const state::WorkerLiveness& liveness, state::ReleasedMachines& released_machines,
            const state::MachineTypeCatalog& machine_types, const BootMonitor& boot_monitor,
            const config::Config& config);

    /// Resets the state for a new term: clears the queue of deletions.
    void reset() { deleter_.reset(); }
    /// Applies the release policy to all machines, at most a few times per second. Also stops tasks
    /// on cordoned machines and on machines with a preemption notice.
    void check_machines();
    /// Marks the machine as being deleted and queues its deletion; does nothing if it is already
    /// being deleted. Its tasks stay in the cluster state until the cloud confirms the deletion.
    void release(state::Machine& machine, ScaleInReason reason);
    /// Sends queued deletions as far as the cloud's rate limit permits.
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
