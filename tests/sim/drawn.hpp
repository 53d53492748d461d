// Days of twos and threes of all troubles, drawn by a seed.
#pragma once

#include "sim/world.hpp"

namespace dunebridge::sim {

inline Options drawn_options(std::uint64_t seed) {
    Options options;
    options.seed = seed;
    options.fault_every_s = 0;
    options.troubles_s = 150;
    options.finish_s = 2000;
    options.jobs = 24 + static_cast<int>(seed % 30);
    options.machines = 4 + seed % 12;
    if (seed % 3 == 0) options.task_s = 40;
    if (seed % 4 == 1) options.pipelines = 8;
    return options;
}

inline void run_drawn(World& world, std::uint64_t seed) {
    for (int meeting = 0; meeting < 7; ++meeting) {
        world.run_for(Millis(15000));
        for (std::uint64_t n = 0; n < 2 + seed % 2; ++n) {
            world.any_trouble();
            world.run_for(Millis(800));
        }
    }
    world.run();
}

// Days that join the troubles of bad nights with all others.
inline Options drawn_night_options(std::uint64_t seed) {
    auto options = drawn_options(seed);
    options.troubles_s = 200;
    options.finish_s = 2500;
    if (seed % 2 == 0) options.mistaken_percent = 15;
    if (seed % 3 == 1) options.guests = true;
    return options;
}

inline void run_drawn_night(World& world) {
    constexpr int meetings = 7;
    for (int meeting = 0; meeting < meetings; ++meeting) {
        world.run_for(Millis(15000));
        world.any_bad_night();
        world.run_for(Millis(800));
        world.any_trouble();
        if (meeting % 2 == 0) world.any_bad_night();
    }
    world.run();
}

}  // namespace dunebridge::sim
