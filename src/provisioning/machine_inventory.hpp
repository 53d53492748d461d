// Follows the cloud's list of machines. It is late, and a row that is missing proves nothing.
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

class MachineInventory {
  public:
    // `failed` is called for machines that the cloud reports as failed, once each.
    MachineInventory(sansio::Context& port, CloudClient& cloud, state::ClusterState& cluster_state,
                     const state::ReleasedMachines& released_machines, const config::Config& config,
                     std::function<void(state::Machine&)> failed);

    void tick();
    // Another term begins.
    void reset();

  private:
    void start();
    void read_page(const std::string& after, std::uint64_t generation);
    void take_page(const wire::MachineListPage& page, std::uint64_t generation);
    void take_row(const wire::MachineListing& row);
    void count_missing();

    sansio::Context& context_;
    CloudClient& cloud_;
    state::ClusterState& state_;
    const state::ReleasedMachines& released_machines_;
    const config::Config& config_;
    std::function<void(state::Machine&)> failed_;
    bool reading_ = false;
    Instant next_{};
    std::set<MachineName> seen_;
    int pages_ = 0;
};

}  // namespace dunebridge::provisioning
