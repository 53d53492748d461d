// Records in the state service that more than one part of the service reads: how a job was
// submitted, and how it ended.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/types.hpp"
#include "wire/codec.hpp"
#include "wire/messages.hpp"

namespace dunebridge::kv {

// A packed record and its size as the protocol counts it, in JSON.
struct PackedRecord {
    std::string packed;
    std::size_t json_size = 0;
};

// end/<id>: created once and never changed.
struct TerminalRecord {
    wire::JobPhase phase = wire::JobPhase::cancelled;  // `done` or `cancelled`
    // The number of tasks; a cancellation by a node that does not lead does not know it.
    std::optional<std::uint64_t> tasks;
    std::int64_t at_ms = 0;  // time of day

    bool done() const { return phase == wire::JobPhase::done; }
    bool operator==(const TerminalRecord&) const = default;
};
PackedRecord encode(const TerminalRecord& end);
// Whatever is not `done` counts as cancelled.
TerminalRecord decode_terminal_record(wire::Value value);

// job/<id>: an open job.
struct JobRecord {
    std::int64_t submitted_ms = 0;  // time of day
    wire::JobSpec spec;
    // What must be done before it, through other jobs too, and was not when it was submitted.
    std::vector<JobId> ancestors;
    // Records dep/<id>/<n> that hold its dependencies and ancestors in their place; 0: none.
    std::uint64_t dependency_parts = 0;
};
// Throws wire::DecodeError.
JobRecord decode_job_record(wire::Value value);
PackedRecord encode(const JobRecord& job);

// dep/<id>/<n>: jobs on which the job depends.
struct DependencyPart {
    bool direct = false;  // named by the submission; otherwise needed by those
    std::vector<JobId> jobs;
};
// Throws wire::DecodeError.
DependencyPart decode_dependency_part(wire::Value value);
// As many records as it takes, none larger than the limit; the jobs are sorted.
std::vector<PackedRecord> encode_dependency_parts(const std::vector<JobId>& jobs, bool direct,
                                                  std::size_t most_json);

}  // namespace dunebridge::kv
