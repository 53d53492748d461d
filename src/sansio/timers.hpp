/// \file
/// One-shot timers.
#pragma once

#include <functional>
#include <map>
#include <optional>

#include "base/types.hpp"

namespace dunebridge::sansio {

/// One-shot timers on the controller's clock. Timers due at the same time run in the order in which
/// they were added.
class Timers {
  public:
    /// Adds a timer that invokes `run` at the first run_due() from `due` on.
    void add(Instant due, std::function<void()> run);
    /// Runs all timers that are due, including due timers that are added meanwhile.
    void run_due(Instant now);
    /// Returns when the next timer is due, or nullopt if there is none.
    std::optional<Instant> next_due() const;

  private:
    std::multimap<Instant, std::function<void()>> timers_;
};

}  // namespace dunebridge::sansio
