// What is expected of a day in the simulation once it has been run.
#pragma once

#include <gtest/gtest.h>

#include "sim/simulated_cluster.hpp"

namespace dunebridge::sim {

// No rule is broken, every job is over, and more than so many tasks were started.
inline void expect_completed(const SimulatedCluster& world, std::size_t starts = 0) {
    EXPECT_TRUE(world.violated_invariants().empty()) << world.describe_violations();
    EXPECT_EQ(world.unfinished_jobs(), 0u) << world.describe_unfinished();
    EXPECT_GT(world.tasks_started(), starts);
}

}  // namespace dunebridge::sim
