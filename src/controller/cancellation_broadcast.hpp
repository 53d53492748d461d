/// \file
/// Distribution of committed cancellations: to this controller's log, to the cluster state if this
/// controller is the leader, and to another leader before the user is answered.
#pragma once

#include <functional>

#include "base/types.hpp"
#include "coordination/cancellation_log.hpp"
#include "coordination/election.hpp"
#include "coordination/peer_monitor.hpp"
#include "sansio/context.hpp"
#include "state/cluster_state.hpp"

namespace dunebridge::controller {

/// Distributes committed cancellations. Its functions must only be given ids of jobs whose
/// cancellation is committed in the key-value store.
class CancellationBroadcast {
  public:
    /// All references must outlive the object.
    CancellationBroadcast(sansio::Context& context, const coordination::Election& election,
                          coordination::CancellationLog& cancellation_log,
                          coordination::PeerMonitor& peer_monitor,
                          state::ClusterState& cluster_state);

    /// Appends the cancellation to the log and, on the leader, cancels the job. A committed
    /// cancellation is valid whoever reports it, so the leader stops the job's tasks without
    /// reading the terminal record first.
    void record(const JobId& job);
    /// Records the cancellation and notifies the leader. Calls `on_completed` when the leader has
    /// responded or the request has failed or timed out, or at once if no other leader is known.
    /// The leader is notified before the user is answered, so that no task of the job starts after
    /// the answer. If the leader does not respond, the time for which it may continue to renew
    /// leases is bounded nevertheless (LeadershipGuard::may_renew_leases).
    void notify_leader(const JobId& job, std::function<void()> on_completed);
    /// Applies all cancellations in the log to the cluster state. To be called when the cluster
    /// state has just been loaded.
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
