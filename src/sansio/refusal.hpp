/// \file
/// Error responses to requests: the only place that maps the reason for an error to its message,
/// its HTTP status and its Retry-After header.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace dunebridge::sansio {

/// The reason for refusing a request.
enum class RefusalReason : std::uint8_t {
    // The request is invalid and must not be repeated unchanged.
    body_too_large,  ///< The header or the body exceeds the size limit.
    malformed,       ///< The body cannot be decoded; the detail says why.
    no_such_path,
    no_such_job,
    method_not_allowed,
    never_runnable,  ///< The job can never run or cannot be stored; the detail says why.

    // The request may be retried, at this controller or at another one.
    not_ready,
    not_the_leader,
    no_leader,
    leader_loading,  ///< This controller is the leader and is still loading the cluster state.
    leader_unreachable,
    cancellations_unknown,  ///< The leader may have missed a cancellation.
    /// A request about a job cannot be decided now: the key-value store gave no usable response, a
    /// record in it is missing or invalid, the machine types are not known yet, the record format
    /// that the job needs is not adopted yet, too many requests or ancestor checks are pending, or
    /// this request has waited too long or has been attempted too often.
    temporarily_unavailable,
    event_loop_stalled,  ///< The response was decided before the process stalled and is outdated.

    // The heartbeat of a worker is ignored.
    heartbeat_out_of_order,  ///< This heartbeat of the worker or a newer one has already arrived.
    heartbeat_superseded,    ///< The worker's fencing token is newer than the leader's.
    machine_released,        ///< The machine has been returned to the cloud.
    too_many_unknown_workers,
};

/// The reason for refusing a request, with an optional detail message.
class Refusal {
  public:
    /// Converts implicitly, so that a reason can be passed where a Refusal is expected.
    Refusal(RefusalReason reason) : reason_(reason) {}  // NOLINT(google-explicit-constructor)
    Refusal(RefusalReason reason, std::string detail)
        : reason_(reason), detail_(std::move(detail)) {}

    RefusalReason reason() const { return reason_; }
    /// Returns the `error` field of the response: the detail, or a fixed message without one.
    std::string_view text() const;
    int http_status() const;
    /// Returns the value of the Retry-After header; zero if the request should not be retried.
    std::chrono::seconds retry_after() const;

  private:
    RefusalReason reason_;
    std::string detail_;
};

}  // namespace dunebridge::sansio
