/// \file
/// Deletes released machines in the cloud.
#pragma once

#include <set>
#include <vector>

#include "provisioning/cloud_client.hpp"
#include "sansio/context.hpp"
#include "state/cluster_state.hpp"
#include "state/released_machines.hpp"

namespace dunebridge::provisioning {

/// Queue of machines to be deleted. One request is in flight at a time; an unconfirmed request is
/// repeated, which is harmless.
///
/// Removes a machine and its tasks from the cluster state only once the deletion is confirmed,
/// because only the confirmation proves that they no longer exist.
class MachineDeleter {
  public:
    /// The objects passed by reference must outlive the deleter.
    MachineDeleter(sansio::Context& context, CloudClient& cloud, state::ClusterState& cluster_state,
                   state::ReleasedMachines& released_machines)
        : context_(context),
          cloud_(cloud),
          state_(cluster_state),
          released_machines_(released_machines) {}

    /// Resets the state for a new term: clears the queue.
    void reset();
    /// Queues a machine for deletion.
    void enqueue(const MachineName& host) { queue_.insert(host); }
    /// Sends the next request if the queue is not empty and the cloud's rate limit permits. Must be
    /// called in every iteration of the event loop on the leader.
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
