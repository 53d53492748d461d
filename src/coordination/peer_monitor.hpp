/// \file
/// Exchange of heartbeats with the other controllers: which one is the leader, which ones reach the
/// key-value store, the progress of the leader's jobs, and the committed cancellations.
///
/// Except for the cancellations, this information is only a hint on which safety never depends. A
/// committed cancellation is valid whoever reports it. A response acknowledges all cancellations
/// that the peer had reported to its users when the request was made.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/types.hpp"
#include "config/config.hpp"
#include "coordination/peer_heartbeat.hpp"
#include "coordination/peer_status.hpp"
#include "sansio/context.hpp"

namespace dunebridge::coordination {

/// Exchanges heartbeats with all peers and keeps what they report.
class PeerMonitor {
  public:
    /// Called for each heartbeat to be sent; returns this controller's state.
    using HeartbeatSource = std::function<PeerHeartbeat()>;
    /// Called for every committed cancellation in a peer's heartbeat, including known ones.
    using OnCancellation = std::function<void(const JobId&)>;
    /// Called once, when the peer has responded or the request has failed or timed out.
    using OnCompleted = std::function<void()>;

    /// The context and the configuration must outlive the monitor.
    PeerMonitor(sansio::Context& context, const config::Config& config,
                HeartbeatSource heartbeat_source, OnCancellation on_cancellation);

    /// Sends heartbeats to all peers if they are due. A peer whose previous periodic heartbeat is
    /// still in flight is skipped. Must be called in every iteration of the event loop. Requests a
    /// wake-up for the next heartbeats.
    void send_due_heartbeats();
    /// Makes the next send_due_heartbeats() send heartbeats, because the state that they report has
    /// changed.
    void broadcast_soon() { next_send_at_ = Instant{}; }
    /// Sends a heartbeat to one peer at once. For an unknown peer, `on_completed` is called at
    /// once.
    void send_heartbeat(const ControllerName& peer, OnCompleted on_completed);
    /// Records a peer's heartbeat, received as a request or a response. It may have been delayed by
    /// the network for any time.
    void record_heartbeat(const PeerHeartbeat& heartbeat);

    /// Returns the latest moment for which this controller knows every cancellation that any peer
    /// had reported to its users by then, given that it read all terminal records from the
    /// key-value store at `terminal_records_read_at`. Returns the epoch if a peer has never
    /// responded, or if part of a peer's log may have been missed since then.
    Instant cancellations_known_until(Instant terminal_records_read_at) const;

    /// The peer that is the leader according to recent heartbeats; empty if there is none.
    ControllerName leader() const;
    /// When the latest heartbeat of any peer was received; the epoch if there was none.
    Instant last_heard() const { return last_heard_at_; }
    /// The highest term received in a heartbeat so far.
    Term highest_term() const { return highest_term_; }
    /// Whether every peer has recently reported that it supports the record format. A peer without
    /// a recent heartbeat counts as an older version that could not read the records.
    bool all_peers_support(std::uint64_t format) const;
    /// Whether any peer has recently reported that it reaches the key-value store.
    bool kv_reachable_by_a_peer() const;
    /// Progress of the jobs, from the latest heartbeat of a leader.
    const std::unordered_map<JobId, JobProgress>& progress() const { return progress_; }
    /// Jobs that fail on every machine, from the latest heartbeat of a leader.
    const std::vector<JobId>& faulty_jobs() const { return faulty_jobs_; }

  private:
    void send(const config::PeerAddress& peer, const std::string& heartbeat, Millis timeout,
              OnCompleted on_completed);
    void handle_response(const ControllerName& peer, const sansio::HttpResult& response,
                         Instant requested_at);
    void record_leader_report(PeerHeartbeat& heartbeat);

    sansio::Context& context_;
    const config::Config& config_;
    HeartbeatSource heartbeat_source_;
    OnCancellation on_cancellation_;
    std::unordered_map<ControllerName, PeerStatus> peers_;
    std::unordered_map<JobId, JobProgress> progress_;
    std::vector<JobId> faulty_jobs_;
    Term highest_term_;
    Instant last_heard_at_{};
    Instant next_send_at_{};
};

}  // namespace dunebridge::coordination
