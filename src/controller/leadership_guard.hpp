/// \file
/// When a leader must give leadership up, or stop renewing leases, though the key-value store has
/// not shown that another node leads.
#pragma once

#include "config/config.hpp"
#include "coordination/election.hpp"
#include "coordination/peer_monitor.hpp"
#include "kv/client.hpp"
#include "sansio/context.hpp"
#include "state/cluster_state.hpp"

namespace dunebridge::controller {

/// Decides when a leader must give up the leadership, or stop renewing leases, although the key-
/// value store has not shown that another controller leads.
class LeadershipGuard {
  public:
    LeadershipGuard(sansio::Context& context, const config::Config& config,
                    const kv::KvClient& kv_client, coordination::Election& election,
                    const coordination::PeerMonitor& peer_monitor,
                    state::ClusterState& cluster_state);

    /// To be called before anything else of a step. Suspends leadership after a stall of the
    /// process of a leader's lease or more: another node may lead meanwhile, and no lease is taken
    /// to have expired before the key-value store has answered. Returns whether there was a stall.
    bool suspend_leadership_after_stall(Instant last_apply_at);
    /// Suspends the leadership of a node that reaches neither the key-value store nor a peer.
    void suspend_leadership_if_isolated();
    /// Resigns if no worker reaches this leader, directly or through its peers: another node may
    /// be reached. Only for a leader whose cluster state is loaded.
    void resign_if_no_worker_heartbeats();
    /// Whether leases may be renewed by a node that has read all terminal records up to that time
    /// from the key-value store.
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
