/// \file
/// The unit in which the cloud manages capacity: a machine type in a zone, spot or on-demand.
#pragma once

#include <compare>
#include <string>

namespace dunebridge::provisioning {

/// Identifies the machines of one type in one zone, either spot or on-demand. The cloud grants and
/// refuses machines per pool, so requests, backoffs and limits are kept per pool.
struct InstancePool {
    std::string machine_type;
    std::string zone;
    bool spot = false;
    auto operator<=>(const InstancePool&) const = default;
};

}  // namespace dunebridge::provisioning
