#include "controller/batch_order.hpp"

#include <algorithm>
#include <cstdint>

namespace dunebridge::controller {

namespace {
// Priorities of commands, in the order in which the commands are handled.
enum class Priority : std::uint8_t {
    call_result,
    peer_request,
    worker_heartbeat,
    cancellation,
    submission,
    query
};

// Looks only at listener, method and target. Requests that will be refused need no priority of
// their own.
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
