/// \file
/// What a task takes of its machine, and what a machine has to give.
#pragma once

namespace dunebridge {

/// Amounts of what a task uses and a machine has.
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

}  // namespace dunebridge
