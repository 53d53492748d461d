/// \file
/// Fetches the cloud's machine types and their prices into the node's machine type catalog.
#pragma once

#include "provisioning/cloud_client.hpp"
#include "sansio/context.hpp"
#include "state/machine_type_catalog.hpp"

namespace dunebridge::provisioning {

/// Keeps a state::MachineTypeCatalog up to date. Every controller fetches the list once, to check
/// submissions against it. The leader refreshes it every minute because prices change.
class MachineTypeFetcher {
  public:
    /// The objects passed by reference must outlive the fetcher.
    MachineTypeFetcher(sansio::Context& context, CloudClient& cloud,
                       state::MachineTypeCatalog& catalog)
        : context_(context), cloud_(cloud), catalog_(catalog) {}

    /// Sends a request if one is due. Must be called in every iteration of the event loop, on every
    /// node.
    void tick(bool is_leader);

  private:
    void fetch();

    sansio::Context& context_;
    CloudClient& cloud_;
    state::MachineTypeCatalog& catalog_;
    bool in_flight_ = false;
    Instant next_fetch_{};
};

}  // namespace dunebridge::provisioning
