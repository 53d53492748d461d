#include "controller/heartbeat_relay.hpp"

#include <algorithm>

namespace dunebridge::controller {

using sansio::RefusalReason;

namespace {
constexpr Millis kForgetInterval{5000};
// A worker that comes back within this time of its first redirection is relayed.
constexpr Millis kRelayDuration{30000};
constexpr Millis kRelayTimeout{2500};
constexpr int kMisdirectedRequest = 421;
}  // namespace

HeartbeatRelay::HeartbeatRelay(sansio::Context& context, const config::Config& config,
                               const kv::KvClient& kv_client,
                               const coordination::Election& election,
                               const coordination::PeerMonitor& peer_monitor)
    : context_(context),
      config_(config),
      kv_client_(kv_client),
      election_(election),
      peer_monitor_(peer_monitor) {}

void HeartbeatRelay::handle(RequestId id, const std::string& body, wire::Value heartbeat) {
    const auto leader = known_leader();
    const bool should_relay = !leader.get().empty() &&
                              redirected_recently(MachineName(heartbeat["host"].need_text("host")));
    const auto peer = std::find_if(config_.peers.begin(), config_.peers.end(),
                                   [&](const auto& known) { return known.name == leader; });
    if (should_relay && peer != config_.peers.end()) {
        relay(id, body, *peer);
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
    if (election_.is_leader()) {  // still loads the cluster state
        context_.refuse(id, RefusalReason::leader_loading);
    } else if (leader.get().empty()) {
        context_.refuse(id, RefusalReason::no_leader);
    } else {
        context_.respond(id, kMisdirectedRequest, wire::encode_redirect(leader.get()));
    }
}

bool HeartbeatRelay::redirected_recently(const MachineName& host) {
    if (context_.now() >= next_forget_) {
        next_forget_ = context_.now() + kForgetInterval;
        std::erase_if(first_redirected_at_, [&](const auto& entry) {
            return context_.now() - entry.second > kRelayDuration;
        });
    }
    return !first_redirected_at_.try_emplace(host, context_.now()).second;
}

// The leader's response, with its fencing token, is passed on unchanged.
void HeartbeatRelay::relay(RequestId id, const std::string& body,
                           const config::PeerAddress& leader) {
    context_.call(sansio::Destination::peer, leader.address, "POST", "/checkin", body,
                  kRelayTimeout, [this, id](const sansio::HttpResult& result) {
                      if (result.ok()) {
                          context_.respond(id, sansio::kHttpOk, result.body);
                      } else {
                          context_.refuse(id, RefusalReason::leader_unreachable);
                      }
                  });
}

}  // namespace dunebridge::controller
