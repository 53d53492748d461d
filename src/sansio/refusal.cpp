#include "sansio/refusal.hpp"

namespace dunebridge::sansio {

namespace {

constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kMethodNotAllowed = 405;
constexpr int kUnprocessable = 422;
constexpr int kUnavailable = 503;
constexpr std::chrono::seconds kRetryAfter{1};

}  // namespace

std::string_view Refusal::text() const {
    if (!detail_.empty()) return detail_;
    switch (reason_) {
        case RefusalReason::body_too_large:
            return "request too large";
        case RefusalReason::malformed:
            return "malformed request body";
        case RefusalReason::no_such_path:
            return "no such path";
        case RefusalReason::no_such_job:
            return "no such job";
        case RefusalReason::method_not_allowed:
            return "method not allowed";
        case RefusalReason::never_runnable:
            return "job can never run";
        case RefusalReason::not_ready:
            return "not ready";
        case RefusalReason::not_the_leader:
            return "not the leader";
        case RefusalReason::no_leader:
            return "no leader";
        case RefusalReason::leader_loading:
            return "leader is loading the cluster state";
        case RefusalReason::leader_unreachable:
            return "relay to the leader failed";
        case RefusalReason::cancellations_unknown:
            return "leader may have missed a cancellation";
        case RefusalReason::temporarily_unavailable:
            return "temporarily unavailable, try again";
        case RefusalReason::event_loop_stalled:
            return "event loop stalled";
        case RefusalReason::heartbeat_out_of_order:
            return "heartbeat duplicated or out of order";
        case RefusalReason::heartbeat_superseded:
            return "worker holds a newer fencing token";
        case RefusalReason::machine_released:
            return "machine has been released";
        case RefusalReason::too_many_unknown_workers:
            return "too many unknown workers";
    }
    return {};
}

int Refusal::http_status() const {
    switch (reason_) {
        case RefusalReason::body_too_large:
        case RefusalReason::malformed:
            return kBadRequest;
        case RefusalReason::no_such_path:
        case RefusalReason::no_such_job:
            return kNotFound;
        case RefusalReason::method_not_allowed:
            return kMethodNotAllowed;
        case RefusalReason::never_runnable:
            return kUnprocessable;
        default:
            return kUnavailable;
    }
}

std::chrono::seconds Refusal::retry_after() const {
    return http_status() == kUnavailable ? kRetryAfter : std::chrono::seconds(0);
}

}  // namespace dunebridge::sansio
