/// \file
/// State kept for one peer: its latest heartbeat, and how much of its cancellation log has been
/// received.
#pragma once

#include <cstdint>

#include "base/types.hpp"
#include "coordination/peer_heartbeat.hpp"

namespace dunebridge::coordination {

/// Tracks up to when this controller has received all entries of a peer's cancellation log.
class CancellationLogTracker {
  public:
    /// Records the segment in a peer's response to a request made at `requested_at`. Only responses
    /// count, because a response was certainly written after its request, while the age of a
    /// heartbeat received as a request is unknown. If the peer has been restarted, or there is a
    /// gap before the segment, the peer may have reported cancellations to its users that are no
    /// longer in its log. These are only in the key-value store, so tracking restarts at `now`.
    void record_response(const CancellationLogSegment& segment, Instant requested_at, Instant now);
    /// Returns the latest moment for which all cancellations are known that the peer had reported
    /// to its users by then, given that this controller read all terminal records from the
    /// key-value store at `terminal_records_read_at`. Returns the epoch if there is no such moment.
    Instant complete_until(Instant terminal_records_read_at) const;

  private:
    std::uint64_t incarnation_ = 0;    ///< Of the peer's process; 0: no response with a log yet.
    std::uint64_t next_sequence_ = 0;  ///< Of the first cancellation not received.
    Instant complete_since_{};         ///< When the current gapless part of the log began.
    Instant acknowledged_until_{};     ///< When the latest answered request was sent.
};

/// State of one peer, known from its heartbeats.
struct PeerStatus {
    bool has_heartbeat = false;  ///< Whether any heartbeat has been received.
    Instant last_heard_at{};
    /// The latest heartbeat. Its cancellations are passed on and not kept here. The progress and
    /// the faulty jobs of a leader are kept in PeerMonitor instead.
    PeerHeartbeat heartbeat;
    bool heartbeat_in_flight = false;  ///< Whether a periodic heartbeat awaits its response.
    CancellationLogTracker cancellation_log_tracker;

    /// Whether a heartbeat has been received recently.
    bool recently_heard(Instant now) const;
};

}  // namespace dunebridge::coordination
