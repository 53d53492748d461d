#include "config/socket_budget.hpp"

#include <algorithm>

namespace dunebridge::config {

namespace {
constexpr std::size_t kMinShare = 2;
}

SocketBudget::SocketBudget(std::size_t limit) {
    // A fraction 1/divisor of the limit, but at least kMinShare and at most `max`.
    const auto share = [&](std::size_t divisor, std::size_t max) {
        return std::clamp(limit / divisor, kMinShare, max);
    };
    const auto reserved = share(10, 24);
    service_client = share(8, 64);
    peer_client = share(16, 64);
    peer_server = share(16, 96);
    worker_client = limit / 6;
    public_server = limit - std::min(limit, reserved + service_client + peer_client + peer_server +
                                                worker_client);
}

std::size_t SocketBudget::max_worker_connections(std::size_t public_connections) const {
    return worker_client + public_server - std::min(public_server, public_connections);
}

}  // namespace dunebridge::config
