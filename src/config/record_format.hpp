/// \file
/// Format versions of the records in the key-value store.
///
/// A newer format is adopted, permanently, once every controller has reported that it supports it.
/// Until then all records are written in the previous format, so that any controller can become
/// leader or be rolled back to the previous software version.
#pragma once

#include <cstdint>

namespace dunebridge::config {

/// One progress record for each chunk of 256 tasks of a job.
inline constexpr std::uint64_t kChunkFormat = 2;
/// Progress records state the range of tasks that they cover, and jobs may depend on other jobs.
inline constexpr std::uint64_t kRangeFormat = 3;
/// The dependencies of a job may be stored in separate records.
inline constexpr std::uint64_t kSplitDependencyFormat = 4;
/// The newest format that this software version supports.
inline constexpr std::uint64_t kNewestFormat = kSplitDependencyFormat;

}  // namespace dunebridge::config
