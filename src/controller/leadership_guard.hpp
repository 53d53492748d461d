// When a leader must give the leadership up, or stop renewing leases, though the state service has
// not shown that another leads.
#pragma once

#include "config/config.hpp"
#include "coordination/election.hpp"
#include "coordination/peer_monitor.hpp"
#include "kv/client.hpp"
#include "sansio/context.hpp"
#include "state/cluster_state.hpp"

namespace dunebridge::controller {

class LeadershipGuard {
  public:
    LeadershipGuard(sansio::Context& port, const config::Config& config, const kv::KvClient& store,
                    coordination::Election& election, const coordination::PeerMonitor& peers,
                    state::ClusterState& cluster_state);

    // Nothing is decided or answered as the leader after a stand-still of the process. Returns
    // whether there was one.
    bool suspend_leadership_after_stall(Instant last_run);
    // Nor by a leader that reaches neither the state service nor another node.
    void suspend_leadership_if_isolated();
    // A leader that no worker reaches is of no use: another may be.
    void resign_if_no_worker_heartbeats();
    // Whether leases may be renewed by a node that knows all ends up to then from the state
    // service.
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
