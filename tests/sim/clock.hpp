/// \file
/// Virtual time and the order of events, for the simulation.
#pragma once

#include <functional>
#include <map>

#include "base/types.hpp"

namespace dunebridge::sim {

/// A discrete-event clock: time jumps from one scheduled event to the next. Events due at the same
/// time run in the order in which they were scheduled.
class Clock {
  public:
    /// The current virtual time; it begins at one second.
    Instant now() const { return now_; }
    /// Schedules the event for a span from now on.
    void after(Millis delay, std::function<void()> then) { at(now_ + delay, std::move(then)); }
    /// Schedules the event; a time in the past means at once.
    void at(Instant t, std::function<void()> then) {
        events_.emplace(std::max(t, now_), std::move(then));
    }
    /// Runs the next event. If none is due up to the limit, time moves to the limit and the result
    /// is false.
    bool step(Instant limit) {
        if (events_.empty() || events_.begin()->first > limit) {
            now_ = limit;
            return false;
        }
        const auto it = events_.begin();
        now_ = it->first;
        const auto then = std::move(it->second);
        events_.erase(it);
        then();
        return true;
    }

  private:
    Instant now_{Millis(1000)};
    std::multimap<Instant, std::function<void()>> events_;
};

}  // namespace dunebridge::sim
