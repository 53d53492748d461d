#include "coordination/peer_status.hpp"

#include <algorithm>

namespace dunebridge::coordination {

namespace {
// More than three intervals of heartbeats.
constexpr Millis kRecently{2500};
}  // namespace

void CancellationLogReceipt::record_response(const CancellationLogSegment& segment,
                                             Instant requested_at, Instant now) {
    if (segment.incarnation == 0) return;
    if (incarnation_ != segment.incarnation || segment.first_sequence > next_) {
        incarnation_ = segment.incarnation;
        complete_since_ = now;
        next_ = 0;
    }
    next_ = std::max(next_, segment.next_sequence());
    acknowledged_at_ = std::max(acknowledged_at_, requested_at);
}

Instant CancellationLogReceipt::complete_until(Instant terminal_records_read_at) const {
    if (incarnation_ == 0 || complete_since_ > terminal_records_read_at) return Instant{};
    return acknowledged_at_;
}

bool PeerStatus::recently_heard(Instant now) const { return known && now - heard_at < kRecently; }

}  // namespace dunebridge::coordination
