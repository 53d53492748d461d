/// \file
/// Version of the cluster state in memory.
#pragma once

#include <cstdint>

namespace dunebridge::state {

/// Counts the changes made to the cluster state in memory. It grows for as long as the process
/// lives, over all of its terms; it has nothing to do with revisions in the key-value store.
using Version = std::uint64_t;

}  // namespace dunebridge::state
