/// \file
/// What tests expect of a simulated scenario after it has run.
#pragma once

#include <gtest/gtest.h>

#include "sim/simulated_cluster.hpp"

namespace dunebridge::sim {

/// No invariant is violated, every job is in a terminal phase, and more than so many tasks started.
inline void expect_completed(const SimulatedCluster& cluster, std::size_t starts = 0) {
    EXPECT_TRUE(cluster.violated_invariants().empty()) << cluster.describe_violations();
    EXPECT_EQ(cluster.users().unfinished_jobs(), 0u) << cluster.users().describe_unfinished();
    EXPECT_GT(cluster.statistics().tasks_started, starts);
}

}  // namespace dunebridge::sim
