/// \file
/// A user's request about a job, while it waits for the key-value store.
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

/// What a user asks for.
enum class RequestKind : std::uint8_t {
    poll,
    submission,
    cancellation,
    /// A submission that is refused unless its job is known already: a repeated submission is
    /// answered with the state of the job that has its id, whatever else it carries.
    rejected_submission
};

/// What a submission is to write, complete once all that it needs to know has been read.
struct Submission {
    kv::JobRecord record;
    /// It names a cancelled job: it is accepted and cancelled at once.
    bool cancelled = false;
    std::vector<wire::Write> writes;
    std::size_t bytes = 0;  ///< Of the writes, with kWriteOverheadBytes for each.
};

/// One request. It has one owner at a time, which either responds to it or hands it on: a queue, or
/// the continuation of a call. It is copyable only because continuations must be.
struct JobRequest {
    RequestId id;
    JobId job;
    RequestKind kind = RequestKind::poll;
    Instant received_at{};
    std::optional<sansio::Refusal> refusal{};  ///< Of a rejected submission.
    Submission submission{};                   ///< Of a submission.
    /// None of the job's ancestors was terminal in a check apart from the transaction that confirms
    /// the response, because they are too many for it.
    bool ancestors_checked = false;
    int attempts = 0;
};

/// Called once for each waiting request. True: the request has been responded to and is to be
/// dropped.
using DropPredicate = std::function<bool(const JobRequest&)>;

}  // namespace dunebridge::api
