// Pure placement: the order in which rooms are filled.
//
// Like tasks are decided as a class: once the fullest machine has taken one, it is fuller still, so
// best fit fills the machines one after the other in a single order.
#pragma once

#include <cstddef>
#include <functional>
#include <vector>

#include "base/resources.hpp"

namespace dunebridge::scheduler {

// What a machine has to give. `later` also counts what tasks that are being stopped will leave,
// less what is promised to those they are stopped for.
struct FreeCapacity {
    Resources total;
    Resources free;
    Resources later;
};

using Allowed = std::function<bool(std::size_t)>;
using HasImage = std::function<bool(std::size_t)>;
// The paper's earliest available time plus slack, in seconds from now; ranks, decides nothing.
using Earliest = std::function<double(std::size_t)>;

// The rooms that hold the need now, the fullest machine first; an image already there breaks ties.
std::vector<std::size_t> best_fit(const std::vector<FreeCapacity>& rooms, const Resources& need,
                                  const Allowed& allowed, const HasImage& has_image);

// For tasks that no machine holds: the rooms in which they will fit once tasks that are already
// being stopped are gone, the one with the earliest finish first.
std::vector<std::size_t> future_fit(const std::vector<FreeCapacity>& rooms, const Resources& need,
                                    const Allowed& allowed, const Earliest& earliest_s);

}  // namespace dunebridge::scheduler
