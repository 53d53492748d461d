// Encoding of the ledger's own records: progress and placements of tasks, and rentals. Field names
// and layout are those of earlier versions, byte for byte (upgrade_test.cpp).
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "kv/client.hpp"
#include "kv/records.hpp"
#include "state/model.hpp"

namespace dunebridge::state {

// Tasks in one progress record of the older format. Each on a machine of its own takes some 45
// bytes, so that a full record stays under 16 KiB.
inline constexpr std::uint32_t kTasksPerChunk = 256;
// In the newer one a record begins with so many, and is split when it grows too large.
inline constexpr std::uint32_t kTasksPerRange = 64;
// In the sets of a record, a hexadecimal digit stands for so many tasks.
inline constexpr std::uint32_t kTasksPerDigit = 4;

// Keys of the progress records of the older and of the newer format.
std::string chunk_key(const JobId& id, std::uint32_t chunk);
std::string range_key(const JobId& id, std::uint32_t from, std::uint32_t size);

// A progress record, decoded. Indices are those of the job's tasks.
struct ProgressRecord {
    struct Placed {
        std::uint32_t index = 0;
        MachineName host;
        Attempt attempt;
    };
    JobId job;
    std::uint32_t from = 0;
    std::uint32_t size = 0;  // tasks that it covers
    std::vector<std::uint32_t> done;
    std::vector<std::uint32_t> preemption_protected;
    std::vector<Placed> placed;
};

kv::PackedRecord encode_progress(const Job& job, const TaskRange& range);
// Reads formats up to the one given. Throws wire::DecodeError.
ProgressRecord decode_progress(const kv::Row& row, std::uint64_t newest_format);

kv::PackedRecord encode_scale_out(const ScaleOutRecord& rental);
// Throws wire::DecodeError.
ScaleOutRecord decode_scale_out_record(wire::Value value);

// The mark that a format is in force.
kv::PackedRecord encode_format_mark(std::uint64_t format);
// Throws wire::DecodeError for a format that is newer than the one given.
std::uint64_t decode_format_mark(wire::Value value, std::uint64_t newest_format);

}  // namespace dunebridge::state
