// Follows the cloud's list of machines. It is late, and a row that is missing proves nothing.
#pragma once

#include <cstdint>
#include <functional>
#include <set>
#include <string>

#include "core/config.hpp"
#include "core/ledger.hpp"
#include "core/port.hpp"
#include "provisioning/cloud_client.hpp"
#include "wire/messages.hpp"
#include "workers/workers.hpp"

namespace dunebridge::provisioning {

class MachineList {
  public:
    // `failed` is called for machines that the cloud reports as failed, once each.
    MachineList(core::Port& port, CloudClient& cloud, core::Ledger& ledger,
                workers::Workers& workers, const core::Config& config,
                std::function<void(core::Machine&)> failed);

    void tick();
    // Another term begins.
    void reset();

  private:
    void start();
    void read_page(const std::string& after, std::uint64_t generation);
    void take_page(const wire::MachineListPage& page, std::uint64_t generation);
    void take_row(const wire::MachineListing& row);
    void count_missing();

    core::Port& port_;
    CloudClient& cloud_;
    core::Ledger& ledger_;
    workers::Workers& workers_;
    const core::Config& config_;
    std::function<void(core::Machine&)> failed_;
    bool reading_ = false;
    Instant next_{};
    std::set<HostName> seen_;
    int pages_ = 0;
};

}  // namespace dunebridge::provisioning
