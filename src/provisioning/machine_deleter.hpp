/// \file
/// Sends deletions of released machines to the cloud.
#pragma once

#include <set>
#include <vector>

#include "provisioning/cloud_client.hpp"
#include "sansio/context.hpp"
#include "state/cluster_state.hpp"
#include "state/released_machines.hpp"

namespace dunebridge::provisioning {

/// A queue of machines to be deleted. One request is in flight at a time; a request without
/// confirmation is repeated, which is harmless.
///
/// Only a confirmed deletion removes a machine and its tasks from the cluster state, as it proves
/// that both are gone.
class MachineDeleter {
  public:
    /// The references must outlive the deleter.
    MachineDeleter(sansio::Context& context, CloudClient& cloud, state::ClusterState& cluster_state,
                   state::ReleasedMachines& released_machines)
        : context_(context),
          cloud_(cloud),
          state_(cluster_state),
          released_machines_(released_machines) {}

    /// Another term begins: what was queued in the last one is forgotten.
    void reset();
    /// Queues a machine for deletion.
    void enqueue(const MachineName& host) { queue_.insert(host); }
    /// Sends the next request if there is something to send and the cloud's rate permits. To be
    /// called in every pass of the event loop on the leader.
    void send();

  private:
    void handle_response(const std::vector<MachineName>& hosts, bool confirmed);

    sansio::Context& context_;
    CloudClient& cloud_;
    state::ClusterState& state_;
    state::ReleasedMachines& released_machines_;
    std::set<MachineName> queue_;
    bool in_flight_ = false;
    Instant retry_at_{};
};

}  // namespace dunebridge::provisioning
