/// \file
/// A user's request about a job, as it passes through the user API.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "base/types.hpp"
#include "kv/records.hpp"
#include "sansio/refusal.hpp"
#include "wire/messages.hpp"

namespace dunebridge::api {

/// Kind of a user's request.
enum class RequestKind : std::uint8_t {
    poll,
    submission,
    cancellation,
    /// An invalid submission. It is refused only if no job with its id exists; otherwise it counts
    /// as a repeated submission, which gets the state of that job regardless of its other content.
    rejected_submission
};

/// The data of a submission. `record` is complete once the dependencies have been looked up.
struct Submission {
    kv::JobRecord record;
    /// An ancestor is cancelled: the job is accepted and cancelled at once.
    bool cancelled = false;
    std::vector<wire::Write> writes;
    std::size_t bytes = 0;  ///< Size of the writes, including kWriteOverheadBytes each.
};

/// A request. It has one owner at a time, a queue or the callback of a store request, which either
/// responds to it or passes it on. It is copyable only because callbacks must be copyable.
struct JobRequest {
    RequestId id;
    JobId job;
    RequestKind kind = RequestKind::poll;
    Instant received_at{};
    std::optional<sansio::Refusal> refusal{};  ///< Set for a rejected submission.
    Submission submission{};                   ///< Set for a submission.
    /// Whether a separate ancestor check found no terminal ancestor. Such a check is needed if the
    /// transaction that confirms the response cannot have enough preconditions for all of them.
    bool ancestors_checked = false;
    int attempts = 0;  ///< How often the request was queued or its cancellation conflicted.
};

/// Decides whether a waiting request is dropped. Called once for each request; if it returns true,
/// it has responded to the request.
using DropPredicate = std::function<bool(const JobRequest&)>;

}  // namespace dunebridge::api
