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

class LeadershipRules {
  public:
    LeadershipRules(sansio::Port& port, const config::Config& config, const kv::Store& store,
                    coordination::Election& election, const coordination::Peers& peers,
                    state::Ledger& ledger);

    // Nothing is decided or answered as the leader after a stand-still of the process. Returns
    // whether there was one.
    bool step_back_after_stall(Instant last_run);
    // Nor by a leader that reaches neither the state service nor another node.
    void step_back_if_isolated();
    // A leader that no worker reaches is of no use: another may be.
    void resign_if_unreached();
    // Whether leases may be renewed by a node that knows all ends up to then from the state
    // service.
    bool may_renew_leases(Instant ends_read_at);

  private:
    sansio::Port& port_;
    const config::Config& config_;
    const kv::Store& store_;
    coordination::Election& election_;
    const coordination::Peers& peers_;
    state::Ledger& ledger_;
    const Millis max_unsure_;
};

}  // namespace dunebridge::controller
