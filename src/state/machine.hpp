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

/// Reservation of a machine for a job that has waited long and fits on no machine yet.
///
/// Written by the scheduler.
struct Reservation {
    /// Sequence number of the job; 0 if the machine is not reserved.
    std::uint64_t job_sequence = 0;
    /// When the latest reservation began; keeps its value after that reservation ends.
    Instant since{};

    bool active() const { return job_sequence != 0; }
};

/// A machine of the fleet.
///
/// Unless noted at a field or its type, fields are written by ClusterState.
struct Machine {
    MachineName host;
    std::string machine_type;
    std::string zone;
    bool spot = false;
    /// Idempotency key of the scale-out request that provisioned the machine.
    std::string scale_out_key;
    std::map<PlacementKey, Placement> placements;
    /// Resources of the machine type; zero until they are known. Written by provisioning::ScaleIn,
    /// and cleared by ClusterState when the type changes.
    Resources capacity;
    /// Resources that the machine's placements use.
    Resources allocated;
    /// The part of `allocated` that will be free once the tasks being stopped have exited.
    Resources releasing;
    /// When a placement was last added or removed. Also set by workers::HeartbeatProcessor at the
    /// first heartbeat.
    Instant idle_since{};

    WorkerStatus worker;
    InstanceStatus instance;
    Reservation reservation;
};

}  // namespace dunebridge::state
