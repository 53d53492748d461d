#include "controller/batch_order.hpp"

#include <algorithm>
#include <cstdint>

namespace dunebridge::controller {

namespace {
// The most urgent first.
enum class Priority : std::uint8_t {
    call_result,
    peer_request,
    worker_heartbeat,
    cancellation,
    submission,
    query
};

// By the target alone: a request that is refused later on needs no place of its own.
Priority priority_of(const Command& command) {
    const auto* request = std::get_if<Request>(&command);
    if (!request) return Priority::call_result;
    if (request->listener == Listener::back) return Priority::peer_request;
    if (request->target == "/checkin") return Priority::worker_heartbeat;
    if (request->method != "POST") return Priority::query;
    return request->target.ends_with("/abort") ? Priority::cancellation : Priority::submission;
}
}  // namespace

void sort_by_priority(std::vector<Command>& batch) {
    std::stable_sort(batch.begin(), batch.end(), [](const Command& a, const Command& b) {
        return priority_of(a) < priority_of(b);
    });
}

}  // namespace dunebridge::controller
