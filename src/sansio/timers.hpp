/// \file
/// Functions that are run once, after a delay.
#pragma once

#include <functional>
#include <map>
#include <optional>

#include "base/types.hpp"

namespace dunebridge::sansio {

/// Timers on the controller's clock. Those due at the same moment run in the order in which they
/// were added.
class Timers {
  public:
    void add(Instant due, std::function<void()> run);
    /// Runs all that are due. They may add further timers; those that are due run as well.
    void run_due(Instant now);
    /// When the next one is due; none if there is no timer.
    std::optional<Instant> next_due() const;

  private:
    std::multimap<Instant, std::function<void()>> timers_;
};

}  // namespace dunebridge::sansio
