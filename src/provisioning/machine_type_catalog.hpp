// The machine types that the cloud offers, with their current prices.
#pragma once

#include <string>
#include <vector>

#include "provisioning/cloud_client.hpp"
#include "sansio/context.hpp"
#include "wire/messages.hpp"

namespace dunebridge::provisioning {

class MachineTypeCatalog {
  public:
    MachineTypeCatalog(sansio::Context& port, CloudClient& cloud) : context_(port), cloud_(cloud) {}

    // Every node needs them once; the leader follows the prices.
    void tick(bool leads);
    const std::vector<wire::MachineType>& all() const { return types_; }
    // Null if there is none of that name.
    const wire::MachineType* find(const std::string& name) const;

  private:
    void fetch();

    sansio::Context& context_;
    CloudClient& cloud_;
    std::vector<wire::MachineType> types_;
    bool fetching_ = false;
    Instant next_fetch_{};
};

}  // namespace dunebridge::provisioning
