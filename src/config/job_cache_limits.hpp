/// \file
/// Limits of the user API's cache of job states.
#pragma once

#include <cstddef>

namespace dunebridge::config {

/// Bounds the memory of the cache. The oldest entries are evicted where a limit would be exceeded.
struct JobCacheLimits {
    std::size_t max_jobs = 8000;
    /// Sum over all cached jobs; about 6 MB of memory.
    std::size_t max_ancestors = 100000;
};

}  // namespace dunebridge::config
