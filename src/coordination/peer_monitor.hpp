/// \file
/// Exchanges heartbeats with the other controllers: who leads, who reaches the key-value store, how
/// far the leader's jobs are, and which cancellations are committed.
///
/// All but the last is advice; safety never rests on it. A committed cancellation is true whoever
/// reports it, and a response acknowledges all of the peer's cancellations up to the moment at
/// which the request was made.
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

/// Exchanges heartbeats with all peers and keeps what they say.
class PeerMonitor {
  public:
    /// Called whenever a heartbeat is to be sent; returns this controller's state.
    using HeartbeatSource = std::function<PeerHeartbeat()>;
    /// Called for every committed cancellation in a peer's heartbeat, also for those known already.
    using OnCancellation = std::function<void(const JobId&)>;
    /// Called once, when the peer has responded or has not in time.
    using OnCompleted = std::function<void()>;

    /// Context and configuration must outlive the monitor.
    PeerMonitor(sansio::Context& context, const config::Config& config,
                HeartbeatSource heartbeat_source, OnCancellation on_cancellation);

    /// Sends heartbeats to all peers if it is time; to be called at every turn of the event loop.
    /// Requests to be run again when the next ones are due.
    void send_due_heartbeats();
    /// Makes the next send_due_heartbeats() send, as something changed that the peers should know.
    void broadcast_soon() { next_send_at_ = Instant{}; }
    /// Sends a heartbeat to one peer at once. For an unknown peer `on_completed` is called at once.
    void send_heartbeat(const ControllerName& peer, OnCompleted on_completed);
    /// Takes a peer's heartbeat, received as a request or a response. It may have been under way
    /// for long.
    void record_heartbeat(const PeerHeartbeat& heartbeat);

    /// Until when this controller knows of every cancellation that a peer has shown its users, if
    /// it read all terminal records from the key-value store at the given moment. The epoch while a
    /// peer does not respond, or its log was missed in part since then.
    Instant cancellations_known_until(Instant terminal_records_read_at) const;

    /// The peer that leads by the latest heartbeats, empty if none.
    ControllerName leader() const;
    /// When the last heartbeat of any peer came.
    Instant last_heard() const { return last_heard_at_; }
    /// The highest term in any heartbeat so far.
    Term highest_term() const { return highest_term_; }
    /// Whether every peer has lately shown that it knows the record format. One that has not been
    /// heard counts as an older version, which could not read the records.
    bool all_peers_support(std::uint64_t format) const;
    /// Whether a peer has lately reported that it reaches the key-value store.
    bool kv_reachable_by_a_peer() const;
    /// Progress of the jobs, from the latest leader heard.
    const std::unordered_map<JobId, JobProgress>& progress() const { return progress_; }
    /// Jobs that the latest leader heard takes to fail on every machine.
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
