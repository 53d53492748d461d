#include "controller/heartbeat_relay.hpp"

#include <algorithm>

namespace dunebridge::controller {

namespace {
constexpr Millis kForgetEvery{5000};
// For so long after its first redirection a worker that comes back is relayed.
constexpr Millis kRelayFor{30000};
constexpr Millis kRelayTimeout{2500};
constexpr int kRetryAfter_s = 1;
}  // namespace

CheckinRelay::CheckinRelay(sansio::Port& port, const config::Config& config, const kv::Store& store,
                           const coordination::Election& election, const coordination::Peers& peers)
    : port_(port), config_(config), store_(store), election_(election), peers_(peers) {}

void CheckinRelay::handle(RequestId id, const std::string& body, wire::Value report) {
    const auto leader = known_leader();
    const bool relayed =
        !leader.get().empty() && redirected_lately(HostName(report["host"].need_text("host")));
    const auto node = std::find_if(config_.known.begin(), config_.known.end(),
                                   [&](const auto& known) { return known.name == leader; });
    if (relayed && node != config_.known.end()) {
        relay(id, body, *node);
    } else {
        redirect(id, leader);
    }
}

// The leader to send workers to; never this node, and empty if none is known.
NodeName CheckinRelay::known_leader() const {
    auto leader = peers_.leader();
    if (leader.get().empty() && store_.reachable()) leader = election_.seen_leader();
    return leader == config_.name ? NodeName() : leader;
}

void CheckinRelay::redirect(RequestId id, const NodeName& leader) {
    if (election_.is_leader()) {  // its ledger is still being read
        port_.answer(id, 503, wire::encode_error("starting"), kRetryAfter_s);
    } else if (leader.get().empty()) {
        port_.answer(id, 503, wire::encode_error("no leader"), kRetryAfter_s);
    } else {
        port_.answer(id, 421, wire::encode_redirect(leader.get()));
    }
}

bool CheckinRelay::redirected_lately(const HostName& host) {
    if (port_.now() >= next_forget_) {
        next_forget_ = port_.now() + kForgetEvery;
        std::erase_if(redirected_,
                      [&](const auto& entry) { return port_.now() - entry.second > kRelayFor; });
    }
    return !redirected_.try_emplace(host, port_.now()).second;
}

// The leader's own answer, with its token, is handed on: this node adds nothing.
void CheckinRelay::relay(RequestId id, const std::string& body, const config::KnownNode& leader) {
    port_.call(sansio::Service::peer, leader.back, "POST", "/checkin", body, kRelayTimeout,
               [this, id](const sansio::HttpReply& reply) {
                   if (reply.status == 200) {
                       port_.answer(id, 200, reply.body);
                   } else {
                       port_.answer(id, 503, wire::encode_error("leader not reached"),
                                    kRetryAfter_s);
                   }
               });
}

}  // namespace dunebridge::controller
