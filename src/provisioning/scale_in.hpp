// Decides which machines are given up, and deletes them.
//
// A deletion that the cloud confirms proves that the machine and its tasks are gone; so it is also
// the way out where nothing else can prove it.
#pragma once

#include <cstdint>
#include <optional>
#include <set>

#include "config/config.hpp"
#include "provisioning/boot_monitor.hpp"
#include "provisioning/cloud_client.hpp"
#include "sansio/context.hpp"
#include "state/cluster_state.hpp"
#include "state/machine_type_catalog.hpp"
#include "state/released_machines.hpp"
#include "state/worker_liveness.hpp"

namespace dunebridge::provisioning {

// Why a machine is given up, as operators see it in the log (docs/operations.md).
enum class ScaleInReason : std::uint8_t {
    idle,
    drained,          // it was to get no more tasks, and has none left
    stuck,            // it never came up
    failed,           // the cloud says so
    taken,            // by the cloud, as announced
    unlisted,         // the cloud's list lacks it
    unheard,          // it has not reported to this term's leader
    silent,           // it reports no more
    unresponsive,     // it reports, and acknowledges nothing
    cancelled_tasks,  // tasks of a cancelled job are not confirmed gone
};

class ScaleIn {
  public:
    ScaleIn(sansio::Context& port, CloudClient& cloud, state::ClusterState& cluster_state,
            const state::WorkerLiveness& liveness, state::ReleasedMachines& released_machines,
            const state::MachineTypeCatalog& types, const BootMonitor& startups,
            const config::Config& config);

    // Another term begins.
    void reset();
    // Looks for machines to be given up, now and then.
    void check();
    // The machine is to be deleted.
    void release(state::Machine& machine, ScaleInReason why);
    void send_deletions();

  private:
    void count_silent();
    void check_machine(state::Machine& machine);
    std::optional<ScaleInReason> release_reason_without_heartbeat(
        const state::Machine& machine) const;
    std::optional<ScaleInReason> release_reason_with_heartbeat(const state::Machine& machine) const;
    bool holds_cancelled_tasks_too_long(const state::Machine& machine) const;
    void save_tasks(state::Machine& machine);
    Millis patience() const;

    sansio::Context& context_;
    CloudClient& cloud_;
    state::ClusterState& state_;
    const state::WorkerLiveness& liveness_;
    state::ReleasedMachines& released_machines_;
    const state::MachineTypeCatalog& types_;
    const BootMonitor& boot_monitor_;
    const config::Config& config_;
    std::set<MachineName> released_;  // machines to be deleted
    bool deleting_ = false;
    Instant next_deletion_{};
    Instant next_check_{};
    bool many_silent_ = false;
    bool tasks_of_ended_ = false;  // some machine has tasks of a job that is over
};

}  // namespace dunebridge::provisioning
