#include "coordination/peer_monitor.hpp"

#include <algorithm>
#include <utility>

namespace dunebridge::coordination {

namespace {
constexpr Millis kEvery{700};
constexpr Millis kRecently{2500};
constexpr Millis kTimeout{1500};
// A user waits for this one.
constexpr Millis kBroadcastTimeout{400};
}  // namespace

PeerMonitor::PeerMonitor(sansio::Context& port, const config::Config& config,
                         std::function<PeerHeartbeat()> own,
                         std::function<void(const JobId&)> cancelled)
    : context_(port), config_(config), own_(std::move(own)), cancelled_(std::move(cancelled)) {
    for (const auto& node : config_.peers) peers_[node.name];
}

bool PeerMonitor::recently_heard(const Peer& peer) const {
    return peer.known && context_.now() - peer.heard < kRecently;
}

std::string PeerMonitor::own_heartbeat() { return encode(own_()); }

void PeerMonitor::send_due_heartbeats() {
    if (context_.now() >= next_) {
        next_ = context_.now() + kEvery;
        const auto heartbeat = own_heartbeat();
        for (const auto& node : config_.peers) {
            auto& peer = peers_[node.name];
            if (peer.in_flight) continue;
            peer.in_flight = true;
            send(node, heartbeat, kTimeout, [&peer] { peer.in_flight = false; });
        }
    }
    context_.request_wake(next_);
}

void PeerMonitor::send_heartbeat(const ControllerName& peer, std::function<void()> then) {
    for (const auto& node : config_.peers) {
        if (node.name != peer) continue;
        send(node, own_heartbeat(), kBroadcastTimeout, std::move(then));
        return;
    }
    then();
}

void PeerMonitor::send(const config::PeerAddress& node, const std::string& heartbeat,
                       Millis timeout, std::function<void()> then) {
    context_.call(sansio::Destination::peer, node.back, "POST", "/hello", heartbeat, timeout,
                  [this, name = node.name, asked = context_.now(),
                   then = std::move(then)](const sansio::HttpResult& reply) {
                      if (reply.ok()) answered(name, reply, asked);
                      then();
                  });
}

void PeerMonitor::answered(const ControllerName& name, const sansio::HttpResult& reply,
                           Instant asked) {
    try {
        const auto doc = wire::Document::need(reply.body);
        const auto heartbeat = decode_peer_heartbeat(doc.root());
        if (heartbeat.node == name)
            track_cancellation_log(peers_[name], heartbeat.cancellations, asked);
        record_heartbeat(heartbeat);
    } catch (const wire::DecodeError& e) {
        context_.log(sansio::LogLevel::error, "event=invalid_peer_heartbeat from={} error=\"{}\"",
                     name.get(), e.what());
    }
}

// Only an answer shows how new it is: it was given after it was asked for. A restarted peer, or one
// whose log has a gap, may have shown users ends that are in no log any more; the state service
// has them.
void PeerMonitor::track_cancellation_log(Peer& peer, const CancellationLogSegment& log,
                                         Instant asked) {
    if (log.incarnation == 0) return;
    if (peer.incarnation != log.incarnation || log.first > peer.next) {
        peer.incarnation = log.incarnation;
        peer.complete_since = context_.now();
        peer.next = 0;
    }
    peer.next = std::max(peer.next, log.next());
    peer.acknowledged_at = std::max(peer.acknowledged_at, asked);
}

Instant PeerMonitor::cancellations_known_until(Instant read) const {
    auto until = context_.now();
    for (const auto& [name, peer] : peers_) {
        if (peer.incarnation == 0 || peer.complete_since > read) return Instant{};
        until = std::min(until, peer.acknowledged_at);
    }
    return until;
}

void PeerMonitor::record_heartbeat(const PeerHeartbeat& heartbeat) {
    const auto it = peers_.find(heartbeat.node);
    if (it == peers_.end()) return;
    // Committed ends are true however old the heartbeat is.
    for (const auto& id : heartbeat.cancellations.jobs) cancelled_(id);
    auto& peer = it->second;
    // Overtaken on the way: terms only grow.
    if (peer.known && heartbeat.term < peer.heartbeat.term) return;
    peer.heartbeat = heartbeat;
    peer.heartbeat.cancellations.jobs.clear();
    peer.known = true;
    peer.heard = last_heard_ = context_.now();
    highest_term_ = std::max(highest_term_, heartbeat.term);
    if (!heartbeat.leads || heartbeat.term < highest_term_) return;
    progress_.clear();
    for (const auto& p : heartbeat.progress) progress_.emplace(p.id, p);
    peer.heartbeat.progress.clear();
    faulty_jobs_ = std::exchange(peer.heartbeat.faulty_jobs, {});
}

ControllerName PeerMonitor::leader() const {
    for (const auto& [name, peer] : peers_) {
        if (recently_heard(peer) && peer.heartbeat.leads && peer.heartbeat.term == highest_term_)
            return name;
    }
    return ControllerName();
}

bool PeerMonitor::all_peers_support(std::uint64_t format) const {
    return std::all_of(peers_.begin(), peers_.end(), [&](const auto& p) {
        return recently_heard(p.second) && p.second.heartbeat.format >= format;
    });
}

bool PeerMonitor::kv_reachable_by_a_peer() const {
    return std::any_of(peers_.begin(), peers_.end(), [&](const auto& entry) {
        return recently_heard(entry.second) && entry.second.heartbeat.kv_reachable;
    });
}

}  // namespace dunebridge::coordination
