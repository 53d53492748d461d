#include "coordination/peer_status.hpp"

#include <algorithm>

namespace dunebridge::coordination {

namespace {
// More than three heartbeat intervals.
constexpr Millis kRecentHeartbeatWindow{2500};
}  // namespace

void CancellationLogTracker::record_response(const CancellationLogSegment& segment,
                                             Instant requested_at, Instant now) {
    if (segment.incarnation == 0) return;
    if (incarnation_ != segment.incarnation || segment.first_sequence > next_sequence_) {
        incarnation_ = segment.incarnation;
        complete_since_ = now;
        next_sequence_ = 0;
    }
    next_sequence_ = std::max(next_sequence_, segment.next_sequence());
    acknowledged_until_ = std::max(acknowledged_until_, requested_at);
}

Instant CancellationLogTracker::complete_until(Instant terminal_records_read_at) const {
    if (incarnation_ == 0 || complete_since_ > terminal_records_read_at) return Instant{};
    return acknowledged_until_;
}

bool PeerStatus::recently_heard(Instant now) const {
    return has_heartbeat && now - last_heard_at < kRecentHeartbeatWindow;
}

}  // namespace dunebridge::coordination
