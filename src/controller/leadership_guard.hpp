// When a leader must give the leadership up, or stop renewing leases, though the state service has
// not shown that another leads.
#pragma once

#include "cluster/election.hpp"
#include "cluster/peers.hpp"
#include "core/config.hpp"
#include "core/ledger.hpp"
#include "core/port.hpp"
#include "state/store.hpp"

namespace dunebridge::core {

class LeadershipRules {
  public:
    LeadershipRules(Port& port, const Config& config, const state::Store& store,
                    cluster::Election& election, const cluster::Peers& peers, Ledger& ledger);

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
    Port& port_;
    const Config& config_;
    const state::Store& store_;
    cluster::Election& election_;
    const cluster::Peers& peers_;
    Ledger& ledger_;
    const Millis max_unsure_;
};

}  // namespace dunebridge::core
