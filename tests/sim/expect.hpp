// What is expected of a day in the simulation once it has been run.
#pragma once

#include <gtest/gtest.h>

#include "sim/world.hpp"

namespace dunebridge::sim {

// No rule is broken, every job is over, and more than so many tasks were started.
inline void expect_over(const World& world, std::size_t starts = 0) {
    EXPECT_TRUE(world.broken_rules().empty()) << world.describe_broken();
    EXPECT_EQ(world.jobs_left(), 0u) << world.describe_left();
    EXPECT_GT(world.tasks_started(), starts);
}

}  // namespace dunebridge::sim
