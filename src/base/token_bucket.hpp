/// \file
/// Limits a rate: tokens that refill with time. The burst is one second's worth.
#pragma once

#include <algorithm>

#include "base/types.hpp"

namespace dunebridge {

/// Limits a rate. The burst is one second of the rate; a larger amount passes on a full bucket and
/// is paid off afterwards.
class TokenBucket {
  public:
    explicit TokenBucket(double per_second) : rate_(per_second), tokens_(per_second) {}

    /// Takes them all, or none.
    bool take(double tokens, Instant now) {
        refill(now);
        // More than the whole burst is let through on a full bucket and paid off after.
        if (tokens_ < std::min(tokens, rate_)) return false;
        tokens_ -= tokens;
        return true;
    }
    double available(Instant now) {
        refill(now);
        return tokens_;
    }
    /// When so many will be there.
    Instant ready_at(double tokens, Instant now) const {
        const double missing = std::min(tokens, rate_) - tokens_;
        if (missing <= 0) return now;
        return std::max(now, last_) + from_seconds(missing / rate_) + Millis(1);
    }

  private:
    void refill(Instant now) {
        if (now > last_) tokens_ = std::min(rate_, tokens_ + rate_ * to_seconds(now - last_));
        last_ = now;
    }

    double rate_;
    double tokens_;
    Instant last_{};
};

}  // namespace dunebridge
