#include "coordination/peer_monitor.hpp"

#include <algorithm>
#include <utility>

namespace dunebridge::coordination {

namespace {
constexpr Millis kHeartbeatInterval{700};
constexpr Millis kHeartbeatTimeout{1500};
// Timeout of a heartbeat that is sent immediately. It is short because a user waits for the result.
constexpr Millis kImmediateTimeout{400};
}  // namespace

PeerMonitor::PeerMonitor(sansio::Context& context, const config::Config& config,
                         HeartbeatSource heartbeat_source, OnCancellation on_cancellation)
    : context_(context),
      config_(config),
      heartbeat_source_(std::move(heartbeat_source)),
      on_cancellation_(std::move(on_cancellation)) {
    for (const auto& peer : config_.peers) peers_[peer.name];
}

void PeerMonitor::send_due_heartbeats() {
    if (context_.now() >= next_send_at_) {
        next_send_at_ = context_.now() + kHeartbeatInterval;
        const auto heartbeat = encode(heartbeat_source_());
        for (const auto& peer : config_.peers) {
            auto& status = peers_[peer.name];
            if (status.heartbeat_in_flight) continue;
            status.heartbeat_in_flight = true;
            send(peer, heartbeat, kHeartbeatTimeout,
                 [&status] { status.heartbeat_in_flight = false; });
        }
    }
    context_.request_wake(next_send_at_);
}

void PeerMonitor::send_heartbeat(const ControllerName& peer, OnCompleted on_completed) {
    const auto it = std::find_if(config_.peers.begin(), config_.peers.end(),
                                 [&](const auto& address) { return address.name == peer; });
    if (it == config_.peers.end()) {
        on_completed();
        return;
    }
    send(*it, encode(heartbeat_source_()), kImmediateTimeout, std::move(on_completed));
}

void PeerMonitor::send(const config::PeerAddress& peer, const std::string& heartbeat,
                       Millis timeout, OnCompleted on_completed) {
    context_.call(sansio::Destination::peer, peer.address, "POST", "/hello", heartbeat, timeout,
                  [this, name = peer.name, requested_at = context_.now(),
                   on_completed = std::move(on_completed)](const sansio::HttpResult& response) {
                      if (response.ok()) handle_response(name, response, requested_at);
                      on_completed();
                  });
}

void PeerMonitor::handle_response(const ControllerName& peer, const sansio::HttpResult& response,
                                  Instant requested_at) {
    try {
        const auto document = wire::Document::parse_or_throw(response.body);
        const auto heartbeat = decode_peer_heartbeat(document.root());
        if (heartbeat.node == peer) {
            peers_[peer].cancellation_log_tracker.record_response(heartbeat.cancellations,
                                                                  requested_at, context_.now());
        }
        record_heartbeat(heartbeat);
    } catch (const wire::DecodeError& error) {
        context_.log(sansio::LogLevel::error, "event=invalid_peer_heartbeat from={} error=\"{}\"",
                     peer.get(), error.what());
    }
}

void PeerMonitor::record_heartbeat(const PeerHeartbeat& heartbeat) {
    const auto it = peers_.find(heartbeat.node);
    if (it == peers_.end()) return;
    // A committed cancellation is final, so it is valid however old the heartbeat is.
    for (const auto& id : heartbeat.cancellations.jobs) on_cancellation_(id);
    auto& status = it->second;
    // The term of a peer never decreases: a heartbeat with an older term was overtaken by a newer
    // heartbeat.
    if (status.has_heartbeat && heartbeat.term < status.heartbeat.term) return;
    status.heartbeat = heartbeat;
    status.heartbeat.cancellations.jobs.clear();
    status.has_heartbeat = true;
    status.last_heard_at = context_.now();
    last_heard_at_ = context_.now();
    highest_term_ = std::max(highest_term_, heartbeat.term);
    const bool from_leader = heartbeat.is_active_leader && heartbeat.term == highest_term_;
    if (from_leader) record_leader_report(status.heartbeat);
}

void PeerMonitor::record_leader_report(PeerHeartbeat& heartbeat) {
    progress_.clear();
    for (const auto& job : heartbeat.progress) progress_.emplace(job.id, job);
    heartbeat.progress.clear();
    faulty_jobs_ = std::exchange(heartbeat.faulty_jobs, {});
}

Instant PeerMonitor::cancellations_known_until(Instant terminal_records_read_at) const {
    auto until = context_.now();
    for (const auto& [name, status] : peers_) {
        until = std::min(until,
                         status.cancellation_log_tracker.complete_until(terminal_records_read_at));
    }
    return until;
}

ControllerName PeerMonitor::leader() const {
    for (const auto& [name, status] : peers_) {
        if (!status.recently_heard(context_.now())) continue;
        if (status.heartbeat.is_active_leader && status.heartbeat.term == highest_term_)
            return name;
    }
    return ControllerName();
}

bool PeerMonitor::all_peers_support(std::uint64_t format) const {
    return std::all_of(peers_.begin(), peers_.end(), [&](const auto& entry) {
        const auto& status = entry.second;
        return status.recently_heard(context_.now()) && status.heartbeat.format >= format;
    });
}

bool PeerMonitor::kv_reachable_by_a_peer() const {
    return std::any_of(peers_.begin(), peers_.end(), [&](const auto& entry) {
        const auto& status = entry.second;
        return status.recently_heard(context_.now()) && status.heartbeat.kv_reachable;
    });
}

}  // namespace dunebridge::coordination
