// What a node that does not lead answers to a worker's check-in: who leads, or the leader's own
// answer.
//
// A worker that comes back soon after it was sent to the leader cannot reach it: the two may be on
// either side of a cut that this node is not behind. Its check-in is then relayed.
#pragma once

#include <map>
#include <string>

#include "cluster/election.hpp"
#include "cluster/peers.hpp"
#include "core/config.hpp"
#include "core/port.hpp"
#include "state/store.hpp"

namespace dunebridge::core {

class CheckinRelay {
  public:
    CheckinRelay(Port& port, const Config& config, const state::Store& store,
                 const cluster::Election& election, const cluster::Peers& peers);

    // Throws wire::DecodeError if the report names no host.
    void handle(RequestId id, const std::string& body, wire::Value report);

  private:
    NodeName known_leader() const;
    bool redirected_lately(const HostName& host);
    void redirect(RequestId id, const NodeName& leader);
    void relay(RequestId id, const std::string& body, const KnownNode& leader);

    Port& port_;
    const Config& config_;
    const state::Store& store_;
    const cluster::Election& election_;
    const cluster::Peers& peers_;
    std::map<HostName, Instant> redirected_;  // and when each was first
    Instant next_forget_{};
};

}  // namespace dunebridge::core
