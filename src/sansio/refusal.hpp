/// \file
/// Why a request is refused. The only place that maps a reason to its text, its HTTP status and its
/// Retry-After.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace dunebridge::sansio {

/// Why a request is refused. Refusal maps it to text, status and Retry-After.
enum class RefusalReason : std::uint8_t {
    // The request itself is wrong.
    body_too_large,
    malformed,  ///< Its body cannot be decoded; the detail says why.
    no_such_path,
    no_such_job,
    method_not_allowed,
    never_runnable,  ///< A job that can never run, or cannot be kept; the detail says why.

    // It may be repeated, here or elsewhere.
    not_ready,
    not_the_leader,
    no_leader,
    leader_loading,  ///< This node leads and still reads the cluster state.
    leader_unreachable,
    cancellations_unknown,  ///< The leader may have missed a cancellation.
    kv_store_unavailable,   ///< The key-value store does not answer, or not in time.
    event_loop_stalled,     ///< Decided before a stall of the process: no longer valid.

    // A worker's heartbeat that does not count.
    heartbeat_out_of_order,  ///< A newer request of the worker was handled before.
    heartbeat_superseded,    ///< Newer status of the worker is known.
    machine_released,        ///< The machine has been returned to the cloud.
    too_many_unknown_workers,
};

/// A reason, with the detail that some reasons have.
class Refusal {
  public:
    /// Implicit: a reason alone is a refusal.
    Refusal(RefusalReason reason) : reason_(reason) {}  // NOLINT(google-explicit-constructor)
    Refusal(RefusalReason reason, std::string detail)
        : reason_(reason), detail_(std::move(detail)) {}

    RefusalReason reason() const { return reason_; }
    /// The text of the response's `error` field: the detail if there is one.
    std::string_view text() const;
    int http_status() const;
    /// Zero: the request should not be repeated.
    std::chrono::seconds retry_after() const;

  private:
    RefusalReason reason_;
    std::string detail_;
};

}  // namespace dunebridge::sansio
