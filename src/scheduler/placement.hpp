// Pure placement: best fit to the fullest machine, and the choice of a victim.
#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <vector>

namespace dunebridge::scheduler {

struct Resources {
    double cores = 0;
    double accelerators = 0;
    double ram_gb = 0;

    bool holds(const Resources& need) const {
        // Sums of decimals may fall short of the whole by a rounding error.
        constexpr double eps = 1e-6;
        return cores + eps >= need.cores && accelerators + eps >= need.accelerators &&
               ram_gb + eps >= need.ram_gb;
    }
    void add(const Resources& r) {
        cores += r.cores;
        accelerators += r.accelerators;
        ram_gb += r.ram_gb;
    }
    void subtract(const Resources& r) {
        cores -= r.cores;
        accelerators -= r.accelerators;
        ram_gb -= r.ram_gb;
    }
};

// What a machine has to give. `later` also counts what tasks that are being stopped will leave,
// less what is promised to those they are stopped for.
struct Room {
    Resources total;
    Resources free;
    Resources later;
    bool has_image = false;
    // The paper's earliest available time plus slack, in seconds from now; ranks, decides nothing.
    double earliest_s = 0;
};

using Allowed = std::function<bool(std::size_t)>;

// The fullest machine that holds the need; an image already there breaks ties.
std::optional<std::size_t> best_fit(const std::vector<Room>& rooms, const Resources& need,
                                    const Allowed& allowed);

// For a task that no machine holds: the machine on which it will fit once tasks that are already
// being stopped are gone, the one with the earliest finish first.
std::optional<std::size_t> promised_fit(const std::vector<Room>& rooms, const Resources& need,
                                        const Allowed& allowed);

}  // namespace dunebridge::scheduler
