#include "sansio/timers.hpp"

#include <utility>

namespace dunebridge::sansio {

void Timers::add(Instant due, std::function<void()> run) { timers_.emplace(due, std::move(run)); }

void Timers::run_due(Instant now) {
    while (!timers_.empty() && timers_.begin()->first <= now) {
        const auto run = std::move(timers_.begin()->second);
        timers_.erase(timers_.begin());
        run();
    }
}

std::optional<Instant> Timers::next_due() const {
    if (timers_.empty()) return std::nullopt;
    return timers_.begin()->first;
}

}  // namespace dunebridge::sansio
