/// \file
/// Versions of the form in which records are stored. A newer one comes into force, for good, once
/// every controller has shown that it knows it; until then all records are written in the one
/// before.
#pragma once

#include <cstdint>

namespace dunebridge::config {

/// One progress record for each 256 tasks of a job.
inline constexpr std::uint64_t kChunkFormat = 2;
/// Progress records name their range of tasks; jobs may depend on others.
inline constexpr std::uint64_t kRangeFormat = 3;
/// A job's dependencies may be in records of their own.
inline constexpr std::uint64_t kSplitDependencyFormat = 4;
inline constexpr std::uint64_t kNewestFormat = kSplitDependencyFormat;

}  // namespace dunebridge::config
