/// \file
/// Versions of the format of the records in the key-value store.
///
/// A newer format is adopted, for good, once every controller has shown that it knows it. Until
/// then all records are written in the format before, so that any controller may take over the
/// leadership, or be put back to the earlier version.
#pragma once

#include <cstdint>

namespace dunebridge::config {

/// One progress record for each chunk of 256 tasks of a job.
inline constexpr std::uint64_t kChunkFormat = 2;
/// Progress records name the range of tasks that they cover; jobs may depend on others.
inline constexpr std::uint64_t kRangeFormat = 3;
/// A job's dependencies may be in records of their own.
inline constexpr std::uint64_t kSplitDependencyFormat = 4;
/// The newest format that this version knows.
inline constexpr std::uint64_t kNewestFormat = kSplitDependencyFormat;

}  // namespace dunebridge::config
