/// \file
/// Conditions under which a leader must give up the leadership or stop renewing leases before the
/// key-value store has shown that another controller leads.
#pragma once

#include "config/config.hpp"
#include "coordination/election.hpp"
#include "coordination/peer_monitor.hpp"
#include "kv/client.hpp"
#include "sansio/context.hpp"
#include "state/cluster_state.hpp"

namespace dunebridge::controller {

/// Checks the conditions under which a leader must give up the leadership or stop renewing leases,
/// although the leader key has not shown that another controller leads.
class LeadershipGuard {
  public:
    /// All references must outlive the object. Logs an error if the cancellation deadline is too
    /// short for the duration of worker leases.
    LeadershipGuard(sansio::Context& context, const config::Config& config,
                    const kv::KvClient& kv_client, coordination::Election& election,
                    const coordination::PeerMonitor& peer_monitor,
                    state::ClusterState& cluster_state);

    /// Suspends the leadership if the process was stalled for the duration of the leader's lease or
    /// longer: another controller may have become the leader, and no worker lease may be treated as
    /// expired before the key-value store has responded. Must be called before anything else in a
    /// step. `last_apply_at` is the time of the previous step; the epoch if there was none. Returns
    /// whether there was a stall.
    bool suspend_leadership_after_stall(Instant last_apply_at);
    /// Suspends the leadership if this controller reaches neither the key-value store nor a peer.
    void suspend_leadership_if_isolated();
    /// Resigns if no worker reaches this leader, neither directly nor relayed by a peer: the
    /// workers may be able to reach another controller. The cluster state must be loaded.
    void resign_if_no_worker_heartbeats();
    /// Returns whether this leader may renew worker leases, given that it has read all terminal
    /// records that were committed before `terminal_records_read_at` from the key-value store. Logs
    /// an error if it may not renew them.
    bool may_renew_leases(Instant terminal_records_read_at);

  private:
    sansio::Context& context_;
    const config::Config& config_;
    const kv::KvClient& kv_client_;
    coordination::Election& election_;
    const coordination::PeerMonitor& peer_monitor_;
    state::ClusterState& state_;
    const Millis max_cancellation_staleness_;
};

}  // namespace dunebridge::controller
