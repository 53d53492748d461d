/// \file
/// The state of a machine according to the cloud.
#pragma once

#include <cstdint>

#include "base/types.hpp"

namespace dunebridge::state {

/// The state of a machine according to the cloud's responses to the leader of the current term.
///
/// Written by the package provisioning; ClusterState sets provisioned_at when it creates the
/// machine, and workers::HeartbeatProcessor clears `starting` at each heartbeat.
struct InstanceStatus {
    /// When the machine was provisioned, as far as the cloud's machine list shows it.
    Instant provisioned_at{};
    /// The machine is starting: the cloud's machine list reports it as starting, or no list and no
    /// heartbeat has been received yet.
    bool starting = true;
    /// The machine was requested in this term and is still starting; provisioning::BootMonitor
    /// watches it.
    bool boot_tracked = false;
    /// The machine has not started within the expected time.
    bool overdue = false;
    /// The machine is overdue, and another one may be requested in its place.
    bool replacement_allowed = false;
    /// The cloud's machine list has contained the machine.
    bool listed = false;
    /// Number of consecutive machine lists without the machine.
    std::uint32_t missed_listings = 0;
    /// The cloud reports the machine as failed.
    bool failed = false;
    /// This leader has requested the deletion of the machine.
    bool deleting = false;
};

}  // namespace dunebridge::state
