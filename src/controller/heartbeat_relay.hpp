// What a node that does not lead answers to a worker's check-in: who leads, or the leader's own
// answer.
//
// A worker that comes back soon after it was sent to the leader cannot reach it: the two may be on
// either side of a cut that this node is not behind. Its check-in is then relayed.
#pragma once

#include <map>
#include <string>

#include "config/config.hpp"
#include "coordination/election.hpp"
#include "coordination/peer_monitor.hpp"
#include "kv/client.hpp"
#include "sansio/context.hpp"

namespace dunebridge::controller {

class HeartbeatRelay {
  public:
    HeartbeatRelay(sansio::Context& port, const config::Config& config, const kv::KvClient& store,
                   const coordination::Election& election, const coordination::PeerMonitor& peers);

    // Throws wire::DecodeError if the report names no host.
    void handle(RequestId id, const std::string& body, wire::Value heartbeat);

  private:
    ControllerName known_leader() const;
    bool redirected_lately(const MachineName& host);
    void redirect(RequestId id, const ControllerName& leader);
    void relay(RequestId id, const std::string& body, const config::PeerAddress& leader);

    sansio::Context& context_;
    const config::Config& config_;
    const kv::KvClient& kv_client_;
    const coordination::Election& election_;
    const coordination::PeerMonitor& peer_monitor_;
    std::map<MachineName, Instant> redirected_;  // and when each was first
    Instant next_forget_{};
};

}  // namespace dunebridge::controller
