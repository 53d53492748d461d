/// \file
/// Handling of worker heartbeats by a controller that is not the leader: it redirects the worker to
/// the leader, or relays the heartbeat and returns the leader's response.
#pragma once

#include <map>
#include <string>

#include "config/config.hpp"
#include "coordination/election.hpp"
#include "coordination/peer_monitor.hpp"
#include "kv/client.hpp"
#include "sansio/context.hpp"

namespace dunebridge::controller {

/// Redirects workers to the leader. A worker that comes back soon after a redirect apparently
/// cannot reach the leader: a network partition may separate it from the leader, but not this
/// controller. Its heartbeats are then relayed to the leader.
class HeartbeatRelay {
  public:
    /// All references must outlive the object.
    HeartbeatRelay(sansio::Context& context, const config::Config& config,
                   const kv::KvClient& kv_client, const coordination::Election& election,
                   const coordination::PeerMonitor& peer_monitor);

    /// Responds to a worker's heartbeat. `heartbeat` is the decoded `body`. Throws
    /// wire::DecodeError if a leader is known and the heartbeat names no host.
    void handle(RequestId id, const std::string& body, wire::Value heartbeat);

  private:
    ControllerName known_leader() const;
    /// Returns whether the worker was redirected within kRelayWindow; if not, records that it is
    /// redirected now.
    bool check_and_record_redirect(const MachineName& host);
    void redirect(RequestId id, const ControllerName& leader);
    void relay(RequestId id, const std::string& body, const config::PeerAddress& leader);

    sansio::Context& context_;
    const config::Config& config_;
    const kv::KvClient& kv_client_;
    const coordination::Election& election_;
    const coordination::PeerMonitor& peer_monitor_;
    /// When each worker was first redirected. Entries older than kRelayWindow are removed.
    std::map<MachineName, Instant> first_redirected_at_;
    Instant next_prune_at_{};
};

}  // namespace dunebridge::controller
