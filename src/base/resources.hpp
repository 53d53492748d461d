/// \file
/// Resource amounts: the demand of a task and the capacity of a machine.
#pragma once

namespace dunebridge {

/// Amounts of CPU cores, accelerators and memory, either needed by a task or offered by a machine.
struct Resources {
    double cores = 0;
    double accelerators = 0;
    double ram_gb = 0;

    /// Returns whether these amounts cover `need` in every dimension.
    bool holds(const Resources& need) const {
        // Adding and subtracting decimal fractions leaves rounding errors; the tolerance keeps a
        // task that fits exactly from being rejected.
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
