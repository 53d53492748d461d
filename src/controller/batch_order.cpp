#include "controller/batch_order.hpp"

#include <algorithm>
#include <cstdint>

namespace dunebridge::controller {

namespace {
// The most urgent first.
enum class Urgency : std::uint8_t {
    call_result,
    peer_request,
    worker_heartbeat,
    cancellation,
    submission,
    query
};

// By the target alone: a request that is refused later on needs no place of its own.
Urgency urgency_of(const Command& command) {
    const auto* request = std::get_if<Request>(&command);
    if (!request) return Urgency::call_result;
    if (request->listener == Listener::back) return Urgency::peer_request;
    if (request->target == "/checkin") return Urgency::worker_heartbeat;
    if (request->method != "POST") return Urgency::query;
    return request->target.ends_with("/abort") ? Urgency::cancellation : Urgency::submission;
}
}  // namespace

void sort_by_urgency(std::vector<Command>& batch) {
    std::stable_sort(batch.begin(), batch.end(), [](const Command& a, const Command& b) {
        return urgency_of(a) < urgency_of(b);
    });
}

}  // namespace dunebridge::controller
