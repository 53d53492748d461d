#include "controller/heartbeat_relay.hpp"

#include <algorithm>

namespace dunebridge::controller {

using sansio::RefusalReason;

namespace {
constexpr Millis kForgetEvery{5000};
// For so long after its first redirection a worker that comes back is relayed.
constexpr Millis kRelayFor{30000};
constexpr Millis kRelayTimeout{2500};
}  // namespace

HeartbeatRelay::HeartbeatRelay(sansio::Context& port, const config::Config& config,
                               const kv::KvClient& store, const coordination::Election& election,
                               const coordination::PeerMonitor& peers)
    : context_(port),
      config_(config),
      kv_client_(store),
      election_(election),
      peer_monitor_(peers) {}

void HeartbeatRelay::handle(RequestId id, const std::string& body, wire::Value heartbeat) {
    const auto leader = known_leader();
    const bool relayed = !leader.get().empty() &&
                         redirected_lately(MachineName(heartbeat["host"].need_text("host")));
    const auto node = std::find_if(config_.peers.begin(), config_.peers.end(),
                                   [&](const auto& known) { return known.name == leader; });
    if (relayed && node != config_.peers.end()) {
        relay(id, body, *node);
    } else {
        redirect(id, leader);
    }
}

// The leader to send workers to; never this node, and empty if none is known.
ControllerName HeartbeatRelay::known_leader() const {
    auto leader = peer_monitor_.leader();
    if (leader.get().empty() && kv_client_.reachable()) leader = election_.observed_leader();
    return leader == config_.name ? ControllerName() : leader;
}

void HeartbeatRelay::redirect(RequestId id, const ControllerName& leader) {
    if (election_.is_leader()) {  // its ledger is still being read
        context_.refuse(id, RefusalReason::leader_loading);
    } else if (leader.get().empty()) {
        context_.refuse(id, RefusalReason::no_leader);
    } else {
        context_.respond(id, 421, wire::encode_redirect(leader.get()));
    }
}

bool HeartbeatRelay::redirected_lately(const MachineName& host) {
    if (context_.now() >= next_forget_) {
        next_forget_ = context_.now() + kForgetEvery;
        std::erase_if(redirected_,
                      [&](const auto& entry) { return context_.now() - entry.second > kRelayFor; });
    }
    return !redirected_.try_emplace(host, context_.now()).second;
}

// The leader's own answer, with its token, is handed on: this node adds nothing.
void HeartbeatRelay::relay(RequestId id, const std::string& body,
                           const config::PeerAddress& leader) {
    context_.call(sansio::Destination::peer, leader.back, "POST", "/checkin", body, kRelayTimeout,
                  [this, id](const sansio::HttpResult& reply) {
                      if (reply.ok()) {
                          context_.respond(id, 200, reply.body);
                      } else {
                          context_.refuse(id, RefusalReason::leader_unreachable);
                      }
                  });
}

}  // namespace dunebridge::controller
