/// \file
/// Encoding of the records that only the leader writes: progress and placements of tasks, scale-out
/// requests, and the mark of the active record format.
///
/// The encoding is byte for byte that of earlier versions (upgrade_test.cpp). Decoding throws
/// wire::DecodeError for a value that is not in a known format.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "kv/client.hpp"
#include "kv/records.hpp"
#include "state/job.hpp"
#include "state/scale_out_record.hpp"

namespace dunebridge::state {

/// Number of tasks in a progress record of the chunk format. A task that is alone on its machine
/// takes about 45 bytes, so a full record stays below 16 KiB.
inline constexpr std::uint32_t kTasksPerChunk = 256;
/// Number of tasks in a new progress record of the range format, which is split when it grows too
/// large.
inline constexpr std::uint32_t kInitialTasksPerRange = 64;
/// Number of tasks for which one hexadecimal digit stands in the task sets of a progress record.
inline constexpr std::uint32_t kTasksPerHexDigit = 4;

/// Returns the key of a progress record of the chunk format. Chunk n covers kTasksPerChunk tasks,
/// of which n * kTasksPerChunk is the first.
std::string chunk_key(const JobId& id, std::uint32_t chunk);
/// Returns the key of a progress record of the range format. The key contains the task range.
std::string task_range_key(const JobId& id, std::uint32_t from, std::uint32_t size);

/// A decoded progress record. All indices are task indices within the job.
struct ProgressRecord {
    /// The machine on which a task is placed, and the number of the attempt.
    struct TaskPlacement {
        std::uint32_t task_index = 0;
        MachineName machine;
        Attempt attempt;
    };

    JobId job;
    std::uint32_t from = 0;           ///< Index of the first task covered.
    std::uint32_t size = 0;           ///< Number of tasks covered.
    std::vector<std::uint32_t> done;  ///< Indices of tasks that are done.
    /// Indices of tasks that were preempted once and must not be preempted again.
    std::vector<std::uint32_t> preemption_protected;
    std::vector<TaskPlacement> placements;
};

/// Encodes the progress of the tasks in the range. The range's key decides the format.
kv::PackedRecord encode_progress(const Job& job, const TaskRange& range);
/// Decodes a progress record of any format up to `newest_format`. Throws wire::DecodeError.
ProgressRecord decode_progress(const kv::Entry& entry, std::uint64_t newest_format);

kv::PackedRecord encode_scale_out(const ScaleOutRecord& scale_out);
/// Decodes the record of a scale-out request. Throws wire::DecodeError.
ScaleOutRecord decode_scale_out_record(wire::Value value);

/// Encodes the mark that names the active record format.
kv::PackedRecord encode_format_mark(std::uint64_t record_format);
/// Returns the record format that the mark names as active. Throws wire::DecodeError if that format
/// is newer than `newest_format`, or is the chunk format, for which no mark is written.
std::uint64_t decode_format_mark(wire::Value value, std::uint64_t newest_format);

}  // namespace dunebridge::state
