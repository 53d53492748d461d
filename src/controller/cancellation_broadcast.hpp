/// \file
/// Takes committed cancellations to where they must be known: this node's log, the leader's cluster
/// state, and the leader itself before a user is answered.
#pragma once

#include <functional>

#include "base/types.hpp"
#include "coordination/cancellation_log.hpp"
#include "coordination/election.hpp"
#include "coordination/peer_monitor.hpp"
#include "sansio/context.hpp"
#include "state/cluster_state.hpp"

namespace dunebridge::controller {

/// All of its functions take ids of jobs whose cancellation is committed in the key-value store.
class CancellationBroadcast {
  public:
    CancellationBroadcast(sansio::Context& context, const coordination::Election& election,
                          coordination::CancellationLog& cancellation_log,
                          coordination::PeerMonitor& peer_monitor,
                          state::ClusterState& cluster_state);

    /// Appends it to the log and, on the leader, stops the job. Whoever reports a committed
    /// cancellation is right: the leader stops the tasks without reading the record.
    void record(const JobId& job);
    /// Records it and informs the leader, then runs `then`: when the leader has answered, or has
    /// not in time. The leader is to know before the user does, so that nothing starts after that;
    /// if it does not answer, the time for which it may renew leases is bounded all the same.
    void notify_leader(const JobId& job, std::function<void()> on_completed);
    /// Applies the whole log to the cluster state that has just been loaded.
    void apply_log();

  private:
    void apply_to_cluster_state(const JobId& job);
    ControllerName leader_to_notify() const;

    sansio::Context& context_;
    const coordination::Election& election_;
    coordination::CancellationLog& cancellation_log_;
    coordination::PeerMonitor& peer_monitor_;
    state::ClusterState& state_;
};

}  // namespace dunebridge::controller
