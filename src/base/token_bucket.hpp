/// \file
/// A token bucket rate limiter.
#pragma once

#include <algorithm>

#include "base/types.hpp"

namespace dunebridge {

/// Token bucket rate limiter with a capacity of one second's tokens. An amount larger than the
/// capacity is admitted when the bucket is full and leaves the balance negative, so that later
/// requests wait until it is refilled.
class TokenBucket {
  public:
    /// Starts with a full bucket. `per_second` is the refill rate and the capacity.
    explicit TokenBucket(double per_second) : rate_(per_second), tokens_(per_second) {}

    /// Takes `tokens` if enough are available. Returns false, and takes none, otherwise.
    bool take(double tokens, Instant now) {
        refill(now);
        // An amount above the capacity needs only a full bucket.
        if (tokens_ < std::min(tokens, rate_)) return false;
        tokens_ -= tokens;
        return true;
    }
    /// Returns the current balance; negative after an amount larger than the capacity was taken.
    double available(Instant now) {
        refill(now);
        return tokens_;
    }
    /// Returns the earliest time at which take() of `tokens` can succeed; `now` if it can already.
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
