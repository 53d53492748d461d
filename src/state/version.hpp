/// \file
/// Version of the cluster state in memory.
#pragma once

#include <cstdint>

namespace dunebridge::state {

/// Number of changes made to the cluster state in memory. It grows for as long as the process
/// lives, across terms, and is unrelated to the revisions of the key-value store.
using Version = std::uint64_t;

}  // namespace dunebridge::state
