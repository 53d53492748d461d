#include "config/socket_budget.hpp"

#include <algorithm>

namespace dunebridge::config {

namespace {
constexpr std::size_t kMinShare = 2;
}

SocketBudget::SocketBudget(std::size_t limit) {
    // One part in so many of the limit, up to a maximum.
    const auto share = [&](std::size_t divisor, std::size_t max) {
        return std::clamp(limit / divisor, kMinShare, max);
    };
    const auto own = share(10, 24);
    service = share(8, 64);
    peers = share(16, 64);
    back = share(16, 96);
    commands = limit / 6;
    front = limit - std::min(limit, own + service + peers + back + commands);
}

std::size_t SocketBudget::commands_beside(std::size_t front_now) const {
    return commands + front - std::min(front, front_now);
}

}  // namespace dunebridge::config
