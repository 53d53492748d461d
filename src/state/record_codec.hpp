/// \file
/// Encoding of the records that only the leader writes: progress and placements of tasks, scale-out
/// requests, and the mark of the record format that is in force.
///
/// Field names and layout are those of earlier versions, byte for byte (upgrade_test.cpp). Reading
/// throws wire::DecodeError for whatever does not have the form of a known version.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "kv/client.hpp"
#include "kv/records.hpp"
#include "state/job.hpp"
#include "state/scale_out_record.hpp"

namespace dunebridge::state {

/// Tasks in one progress record of the older format. Each on a machine of its own takes some 45
/// bytes, so that a full record stays under 16 KiB.
inline constexpr std::uint32_t kTasksPerChunk = 256;
/// Tasks in a new progress record of the newer format, which is split when it grows too large.
inline constexpr std::uint32_t kInitialTasksPerRange = 64;
/// Tasks that one hexadecimal digit stands for in the task sets of a progress record.
inline constexpr std::uint32_t kTasksPerHexDigit = 4;

/// Key of a progress record of the older format: chunk n covers kTasksPerChunk tasks from
/// n * kTasksPerChunk on.
std::string chunk_key(const JobId& id, std::uint32_t chunk);
/// Key of a progress record of the newer format, which names the range of tasks.
std::string task_range_key(const JobId& id, std::uint32_t from, std::uint32_t size);

/// A decoded progress record. Indices are those of the job's tasks.
struct ProgressRecord {
    /// Where a task is recorded to be, and as which attempt.
    struct TaskPlacement {
        std::uint32_t task_index = 0;
        MachineName machine;
        Attempt attempt;
    };

    JobId job;
    std::uint32_t from = 0;           ///< Index of the first task that it covers.
    std::uint32_t size = 0;           ///< Number of tasks that it covers.
    std::vector<std::uint32_t> done;  ///< Indices of tasks that are done.
    std::vector<std::uint32_t>
        preemption_protected;  ///< Indices of tasks that were preempted once.
    std::vector<TaskPlacement> placements;
};

/// The progress of the tasks in the range, in the format that the range's key is of.
kv::PackedRecord encode_progress(const Job& job, const TaskRange& range);
/// Reads formats up to `newest_format`. Throws wire::DecodeError.
ProgressRecord decode_progress(const kv::Entry& row, std::uint64_t newest_format);

kv::PackedRecord encode_scale_out(const ScaleOutRecord& scale_out);
/// Throws wire::DecodeError.
ScaleOutRecord decode_scale_out_record(wire::Value value);

/// The mark that a record format is in force.
kv::PackedRecord encode_format_mark(std::uint64_t record_format);
/// The record format that is in force. Throws wire::DecodeError if it is newer than
/// `newest_format`.
std::uint64_t decode_format_mark(wire::Value value, std::uint64_t newest_format);

}  // namespace dunebridge::state
