// A user's request that waits for the state service.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/types.hpp"
#include "kv/records.hpp"
#include "sansio/refusal.hpp"
#include "wire/messages.hpp"

namespace dunebridge::api {

enum class Intent : std::uint8_t {
    poll,
    submit,
    cancel,
    refuse  // a submission that is refused unless its job is known already
};

// What a submission is to write once all that it needs to know has been read.
struct Submission {
    kv::JobRecord record;
    // It names a cancelled job: it is accepted and ends at once.
    bool cancelled = false;
    std::vector<wire::Write> writes;
    std::size_t bytes = 0;  // of the writes
};

struct PendingRequest {
    RequestId request;
    JobId job;
    Intent intent = Intent::poll;
    std::optional<sansio::Refusal> refusal;  // of Intent::refuse
    Submission submission;                   // of Intent::submit
    // That none of the jobs before it has ended was found out apart from the transaction that
    // confirms the answer, as they are too many for it.
    bool ancestors_checked = false;
    int tries = 0;
    Instant since{};
};

}  // namespace dunebridge::api
