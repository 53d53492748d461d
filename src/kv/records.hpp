/// \file
/// Records in the key-value store that more than one package reads: how a job was submitted, and
/// how it became terminal. Their layout is stored data that earlier versions wrote and read.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/types.hpp"
#include "wire/codec.hpp"
#include "wire/messages.hpp"

namespace dunebridge::kv {

/// An encoded record and its size as the protocol counts it, in JSON.
struct PackedRecord {
    std::string packed;         ///< MessagePack.
    std::size_t json_size = 0;  ///< Bytes.
};

/// end/<id>: a job that is done or cancelled. Created once and never changed.
struct TerminalRecord {
    wire::JobPhase phase = wire::JobPhase::cancelled;  ///< `done` or `cancelled`.
    /// The number of tasks; absent if the job was cancelled by a controller that does not lead,
    /// which does not know it.
    std::optional<std::uint64_t> task_count;
    std::int64_t ended_ms = 0;  ///< Time of day, Unix epoch.

    bool done() const { return phase == wire::JobPhase::done; }
    bool operator==(const TerminalRecord&) const = default;
};
PackedRecord encode(const TerminalRecord& record);
/// Whatever is not `done` counts as cancelled.
TerminalRecord decode_terminal_record(wire::Value value);

/// job/<id>: a job that is not terminal.
struct JobRecord {
    std::int64_t submitted_ms = 0;  ///< Time of day, Unix epoch.
    wire::JobSpec spec;
    /// Jobs that must be done before it, through other jobs too, and were not when it was
    /// submitted.
    std::vector<JobId> ancestors;
    /// Number of records dep/<id>/<n> that hold its dependencies and ancestors instead; 0: none.
    std::uint64_t dependency_parts = 0;
};
/// Throws wire::DecodeError.
JobRecord decode_job_record(wire::Value value);
PackedRecord encode(const JobRecord& record);

/// dep/<id>/<n>: jobs on which the job depends.
struct DependencyPart {
    /// Whether the submission names them; otherwise those that it names depend on them.
    bool direct = false;
    std::vector<JobId> jobs;
};
/// Throws wire::DecodeError.
DependencyPart decode_dependency_part(wire::Value value);
/// Encodes the sorted jobs as the content of as many records as it takes, none of which is larger
/// than the limit, in bytes of JSON.
std::vector<PackedRecord> encode_dependency_parts(const std::vector<JobId>& jobs, bool direct,
                                                  std::size_t max_json_size);

}  // namespace dunebridge::kv
