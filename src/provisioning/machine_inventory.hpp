/// \file
/// Updates the cluster state from the cloud's list of machines.
#pragma once

#include <cstdint>
#include <functional>
#include <set>
#include <string>

#include "config/config.hpp"
#include "provisioning/cloud_client.hpp"
#include "sansio/context.hpp"
#include "state/cluster_state.hpp"
#include "state/released_machines.hpp"
#include "wire/messages.hpp"

namespace dunebridge::provisioning {

/// Reads the cloud's machine list page by page at intervals, and applies it to the cluster state.
///
/// The list lags behind: a machine that is missing from it may still exist, so a missing row alone
/// proves nothing. Only a row that reports a machine as failed proves that its tasks no longer run.
/// The objects passed by reference must outlive the inventory.
class MachineInventory {
  public:
    /// Called once for each machine that the cloud reports as failed, after its tasks have been
    /// removed from the cluster state.
    using OnMachineFailed = std::function<void(state::Machine&)>;

    MachineInventory(sansio::Context& context, CloudClient& cloud,
                     state::ClusterState& cluster_state,
                     const state::ReleasedMachines& released_machines, const config::Config& config,
                     OnMachineFailed on_machine_failed);

    /// Starts to read the list if it is due. Must be called in every iteration of the event loop on
    /// the leader.
    void tick();
    /// Resets the state for a new term: the list is read again as soon as possible.
    void reset();

  private:
    void start_read();
    void read_page(const std::string& after, std::uint64_t generation);
    void apply_page(const wire::MachineListPage& page, std::uint64_t generation);
    void apply_row(const wire::ListedMachine& row);
    void count_missed_listings();

    sansio::Context& context_;
    CloudClient& cloud_;
    state::ClusterState& state_;
    const state::ReleasedMachines& released_machines_;
    const config::Config& config_;
    OnMachineFailed on_machine_failed_;
    bool reading_ = false;
    Instant next_read_{};
    std::set<MachineName> listed_hosts_;
    int pages_requested_ = 0;
};

}  // namespace dunebridge::provisioning
