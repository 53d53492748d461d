#include "controller/heartbeat_relay.hpp"

#include <algorithm>

namespace dunebridge::controller {

using sansio::RefusalReason;

namespace {
constexpr Millis kPruneInterval{5000};
// The heartbeats of a worker that comes back within this time of its first redirect are relayed.
// After that time the worker is redirected once more.
constexpr Millis kRelayWindow{30000};
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
    const bool should_relay =
        !leader.get().empty() &&
        check_and_record_redirect(MachineName(heartbeat["host"].need_text("host")));
    const auto peer = std::find_if(config_.peers.begin(), config_.peers.end(),
                                   [&](const auto& address) { return address.name == leader; });
    if (should_relay && peer != config_.peers.end()) {
        relay(id, body, *peer);
    } else {
        redirect(id, leader);
    }
}

// The leader to which workers are redirected. Never this controller; empty if none is known.
ControllerName HeartbeatRelay::known_leader() const {
    auto leader = peer_monitor_.leader();
    if (leader.get().empty() && kv_client_.reachable()) leader = election_.observed_leader();
    return leader == config_.name ? ControllerName() : leader;
}

void HeartbeatRelay::redirect(RequestId id, const ControllerName& leader) {
    if (election_.is_leader()) {  // this leader is still loading the cluster state
        context_.refuse(id, RefusalReason::leader_loading);
    } else if (leader.get().empty()) {
        context_.refuse(id, RefusalReason::no_leader);
    } else {
        context_.respond(id, kMisdirectedRequest, wire::encode_redirect(leader.get()));
    }
}

bool HeartbeatRelay::check_and_record_redirect(const MachineName& host) {
    if (context_.now() >= next_prune_at_) {
        next_prune_at_ = context_.now() + kPruneInterval;
        std::erase_if(first_redirected_at_, [&](const auto& entry) {
            return context_.now() - entry.second > kRelayWindow;
        });
    }
    return !first_redirected_at_.try_emplace(host, context_.now()).second;
}

// Returns the leader's response, including its fencing token, to the worker unchanged.
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
