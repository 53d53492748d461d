// Heartbeats between the controllers: who leads, who reaches the state service, how far the
// leader's jobs are, and which cancellations are committed. All of it but the last is advice:
// safety never rests on it. A committed end is true whoever reports it, and an answer acknowledges
// all of the peer's cancellations up to the moment at which it was asked for.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/types.hpp"
#include "config/config.hpp"
#include "coordination/peer_heartbeat.hpp"
#include "sansio/context.hpp"

namespace dunebridge::coordination {

class PeerMonitor {
  public:
    PeerMonitor(sansio::Context& port, const config::Config& config,
                std::function<PeerHeartbeat()> own, std::function<void(const JobId&)> cancelled);

    void send_due_heartbeats();
    // Sends to all peers at the next tick, as something changed that they should know.
    void broadcast_soon() { next_ = Instant{}; }
    // Takes a peer's heartbeat. It may have been under way for long.
    void record_heartbeat(const PeerHeartbeat& heartbeat);
    // Sends to one peer now, and goes on when it has answered or has not in time.
    void send_heartbeat(const ControllerName& peer, std::function<void()> then);
    // Up to when this node knows of every cancellation that a peer has shown its users, for one
    // that has read all committed ends at the given moment; nothing while a peer does not answer.
    Instant cancellations_known_until(Instant read) const;

    // The peer that leads by the latest heartbeats, empty if none.
    ControllerName leader() const;
    // When the last heartbeat of any peer came.
    Instant last_heard() const { return last_heard_; }
    Term highest_term() const { return highest_term_; }
    // Every known controller has lately shown that it knows the format; one not heard counts as
    // old.
    bool all_peers_support(std::uint64_t format) const;
    // Some peer has lately reported that it reaches the state service.
    bool kv_reachable_by_a_peer() const;
    const std::unordered_map<JobId, JobProgress>& progress() const { return progress_; }
    // Jobs that the latest leader heard of took to fail on every machine.
    const std::vector<JobId>& faulty_jobs() const { return faulty_jobs_; }

  private:
    struct Peer {
        Instant heard{};
        bool known = false;
        PeerHeartbeat heartbeat;
        bool in_flight = false;
        // Its log, as far as it is known here without a gap, since when, and when it was last
        // asked.
        std::uint64_t incarnation = 0;
        std::uint64_t next = 0;
        Instant complete_since{};
        Instant acknowledged_at{};
    };
    bool recently_heard(const Peer& peer) const;
    std::string own_heartbeat();
    void send(const config::PeerAddress& node, const std::string& heartbeat, Millis timeout,
              std::function<void()> then);
    void answered(const ControllerName& name, const sansio::HttpResult& reply, Instant asked);
    void track_cancellation_log(Peer& peer, const CancellationLogSegment& log, Instant asked);

    sansio::Context& context_;
    const config::Config& config_;
    std::function<PeerHeartbeat()> own_;
    std::function<void(const JobId&)> cancelled_;
    std::unordered_map<ControllerName, Peer> peers_;
    std::unordered_map<JobId, JobProgress> progress_;
    std::vector<JobId> faulty_jobs_;
    Term highest_term_;
    Instant last_heard_{};
    Instant next_{};
};

}  // namespace dunebridge::coordination
