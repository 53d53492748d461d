// Virtual time and the order of events, for the simulation.
#pragma once

#include <functional>
#include <map>

#include "base/types.hpp"

namespace dunebridge::sim {

class Clock {
  public:
    Instant now() const { return now_; }
    void after(Millis delay, std::function<void()> then) { at(now_ + delay, std::move(then)); }
    void at(Instant t, std::function<void()> then) {
        events_.emplace(std::max(t, now_), std::move(then));
    }
    // Runs the next event; false if there is none before the limit.
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
