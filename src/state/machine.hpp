/// \file
/// A machine in the leader's cluster state.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "base/resources.hpp"
#include "base/types.hpp"
#include "state/instance_status.hpp"
#include "state/placement.hpp"
#include "state/worker_status.hpp"

namespace dunebridge::state {

/// A machine kept free for a job that has waited long and fits nowhere yet.
///
/// Written by the scheduler.
struct Reservation {
    /// Sequence number of the job; 0 if the machine is not reserved.
    std::uint64_t job_sequence = 0;
    /// When the last reservation began; it stays when the reservation ends.
    Instant since{};

    bool active() const { return job_sequence != 0; }
};

/// A machine of the fleet.
///
/// Fields outside the grouped types are written by ClusterState.
struct Machine {
    MachineName host;
    std::string machine_type;
    std::string zone;
    bool spot = false;
    /// Idempotency key of the scale-out request that brought it.
    std::string scale_out_key;
    std::map<PlacementKey, Placement> placements;
    /// What its type has; nothing until that is known. Written by provisioning::ScaleIn, and
    /// cleared by ClusterState when the type changes.
    Resources capacity;
    /// What its placements take.
    Resources allocated;
    /// The part of `allocated` that placements being stopped will free.
    Resources releasing;
    /// Since when it has had nothing placed or removed. Also set by workers::HeartbeatProcessor
    /// with the first heartbeat.
    Instant idle_since{};

    WorkerStatus worker;
    InstanceStatus instance;
    Reservation reservation;
};

}  // namespace dunebridge::state
