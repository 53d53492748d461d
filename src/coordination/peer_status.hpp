/// \file
/// What this controller knows of one peer: its latest heartbeat, and how much of its cancellation
/// log has been received.
#pragma once

#include <cstdint>

#include "base/types.hpp"
#include "coordination/peer_heartbeat.hpp"

namespace dunebridge::coordination {

/// Which of a peer's cancellations are known here.
class CancellationLogTracker {
  public:
    /// Takes the log's segment from a peer's response to a request made at `requested_at`. Only a
    /// response shows how recent it is: it was written after the request. A peer that has been
    /// restarted, or whose log has a gap, may have shown its users cancellations that are in no log
    /// any more; only the key-value store has them.
    void record_response(const CancellationLogSegment& segment, Instant requested_at, Instant now);
    /// Until when all cancellations that the peer has shown its users are known here, for a
    /// controller that read all terminal records from the key-value store at
    /// `terminal_records_read_at`; the epoch if that is not known.
    Instant complete_until(Instant terminal_records_read_at) const;

  private:
    std::uint64_t incarnation_ = 0;    ///< Of the peer's process; 0: it has not responded.
    std::uint64_t next_sequence_ = 0;  ///< Number of the first cancellation not received.
    Instant complete_since_{};         ///< Since when the log has been received without a gap.
    Instant acknowledged_until_{};     ///< When the latest request that got a response was made.
};

/// What is known of one peer from its heartbeats.
struct PeerStatus {
    bool has_heartbeat = false;  ///< Whether there has been a heartbeat.
    Instant last_heard_at{};
    /// The latest one, without its cancellations, which the log takes, and without the progress
    /// and failing jobs of a leader, which PeerMonitor keeps.
    PeerHeartbeat heartbeat;
    bool heartbeat_in_flight =
        false;  ///< Whether a periodic heartbeat to the peer has no response yet.
    CancellationLogTracker cancellation_log_tracker;

    /// Whether a heartbeat has come lately.
    bool recently_heard(Instant now) const;
};

}  // namespace dunebridge::coordination
