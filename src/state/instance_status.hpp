/// \file
/// What the cloud's answers to this term's leader say of a machine.
#pragma once

#include <cstdint>

#include "base/types.hpp"

namespace dunebridge::state {

/// What the cloud's answers to this term's leader say of a machine.
///
/// Written by the package provisioning; ClusterState sets provisioned_at when it creates the
/// machine, and workers::HeartbeatProcessor ends `starting` with the first heartbeat.
struct InstanceStatus {
    /// When the machine was provisioned, as far as the cloud's list shows it.
    Instant provisioned_at{};
    bool starting = true;
    /// Requested in this term and not up yet: provisioning::BootMonitor follows it.
    bool boot_tracked = false;
    /// It should be up by now.
    bool overdue = false;
    /// It is overdue, and the fleet may be scaled out by another machine in its place.
    bool replacement_allowed = false;
    /// The cloud's list has shown it.
    bool listed = false;
    /// How many lists of the cloud in a row did not show it.
    std::uint32_t missed_listings = 0;
    /// The cloud says that it has failed.
    bool failed = false;
    /// This leader has asked the cloud to delete it.
    bool deleting = false;
};

}  // namespace dunebridge::state
