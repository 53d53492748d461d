/// \file
/// The unit in which the cloud has or lacks capacity.
#pragma once

#include <compare>
#include <string>

namespace dunebridge::provisioning {

/// Machines of one type in one zone, spot or on-demand. The cloud grants and refuses machines by
/// pool, so requests, refusals and limits are counted by pool.
struct InstancePool {
    std::string machine_type;
    std::string zone;
    bool spot = false;
    auto operator<=>(const InstancePool&) const = default;
};

}  // namespace dunebridge::provisioning
