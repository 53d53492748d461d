/// \file
/// What a controller that does not lead responds to a worker's heartbeat: who leads, or the
/// leader's own response.
#pragma once

#include <map>
#include <string>

#include "config/config.hpp"
#include "coordination/election.hpp"
#include "coordination/peer_monitor.hpp"
#include "kv/client.hpp"
#include "sansio/context.hpp"

namespace dunebridge::controller {

/// Redirects workers to the leader. A worker that comes back soon after it was redirected can't
/// reach the leader: a network partition may lie between the two and not between this node and the
/// leader. Its heartbeats are then relayed.
class HeartbeatRelay {
  public:
    HeartbeatRelay(sansio::Context& context, const config::Config& config,
                   const kv::KvClient& kv_client, const coordination::Election& election,
                   const coordination::PeerMonitor& peer_monitor);

    /// `heartbeat` is the decoded body. Throws wire::DecodeError if it names no host.
    void handle(RequestId id, const std::string& body, wire::Value heartbeat);

  private:
    ControllerName known_leader() const;
    bool check_and_record_redirect(const MachineName& host);
    void redirect(RequestId id, const ControllerName& leader);
    void relay(RequestId id, const std::string& body, const config::PeerAddress& leader);

    sansio::Context& context_;
    const config::Config& config_;
    const kv::KvClient& kv_client_;
    const coordination::Election& election_;
    const coordination::PeerMonitor& peer_monitor_;
    /// When each worker was first redirected, for kRelayWindow.
    std::map<MachineName, Instant> first_redirected_at_;
    Instant next_prune_at_{};
};

}  // namespace dunebridge::controller
