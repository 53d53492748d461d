/// \file
/// Records in the key-value store that more than one package reads: a job as it was submitted, and
/// how it ended. Earlier versions read and write them, so their layout must stay compatible.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/types.hpp"
#include "wire/codec.hpp"
#include "wire/messages.hpp"

namespace dunebridge::kv {

/// An encoded record and the size of its JSON form, to which the store's size limits apply.
struct PackedRecord {
    std::string packed;         ///< MessagePack.
    std::size_t json_size = 0;  ///< Bytes; never less than the actual size of the JSON form.
};

/// Record end/<id>: a job that is done or cancelled. Created once and never changed.
struct TerminalRecord {
    wire::JobPhase phase = wire::JobPhase::cancelled;  ///< `done` or `cancelled`.
    /// Number of tasks of the job. Absent if a controller that is not the leader cancelled the job,
    /// because it does not know the number.
    std::optional<std::uint64_t> task_count;
    std::int64_t ended_ms = 0;  ///< Wall-clock time in milliseconds since the Unix epoch.

    bool done() const { return phase == wire::JobPhase::done; }
    bool operator==(const TerminalRecord&) const = default;
};
PackedRecord encode(const TerminalRecord& record);
/// Decodes a terminal record. Any phase other than `done` is decoded as `cancelled`; never throws.
TerminalRecord decode_terminal_record(wire::Value value);

/// Record job/<id>: a job that is neither done nor cancelled.
struct JobRecord {
    std::int64_t submitted_ms = 0;  ///< Wall-clock time in milliseconds since the Unix epoch.
    wire::JobSpec spec;
    /// Jobs on which this job depends, directly or through other jobs, and which were not done when
    /// it was submitted.
    std::vector<JobId> ancestors;
    /// Number of records dep/<id>/<n> that hold the dependencies and ancestors instead of this
    /// record; 0 if this record holds them.
    std::uint64_t dependency_parts = 0;
};
/// Decodes a job record. Throws wire::DecodeError.
JobRecord decode_job_record(wire::Value value);
PackedRecord encode(const JobRecord& record);

/// Record dep/<id>/<n>: some of the jobs on which job <id> depends.
struct DependencyPart {
    /// Whether these are the direct dependencies that the submission names. Otherwise they are jobs
    /// on which the direct dependencies depend.
    bool direct = false;
    std::vector<JobId> jobs;
};
/// Decodes a dependency record. Throws wire::DecodeError.
DependencyPart decode_dependency_part(wire::Value value);
/// Encodes a sorted list of jobs as the contents of one or more dependency records, each of at most
/// `max_json_size` bytes of JSON. Returns no records for an empty list.
std::vector<PackedRecord> encode_dependency_parts(const std::vector<JobId>& jobs, bool direct,
                                                  std::size_t max_json_size);

}  // namespace dunebridge::kv
