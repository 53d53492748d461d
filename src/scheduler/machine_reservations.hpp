/// \file
/// Reservations of machines for jobs that have waited long.
#pragma once

#include <cstdint>
#include <set>

#include "sansio/context.hpp"
#include "scheduler/availability_estimator.hpp"
#include "state/cluster_state.hpp"
#include "state/worker_liveness.hpp"

namespace dunebridge::scheduler {

/// Keeps machines from other jobs until there is room for a first task of a job that has waited
/// long.
///
/// Without it a job with large tasks could wait forever under a steady flow of small ones. A
/// reservation ends after a while and the machine is open to others for some time, so that jobs
/// which would fit meanwhile do not wait long themselves. The reservation is kept in the machine.
class MachineReservations {
  public:
    MachineReservations(const sansio::Context& context, state::ClusterState& cluster_state,
                        const state::WorkerLiveness& liveness,
                        const AvailabilityEstimator& availability)
        : context_(context),
          state_(cluster_state),
          liveness_(liveness),
          availability_(availability) {}

    /// Ends the reservations that have lasted too long, and those for other jobs than the given
    /// ones (sequence numbers of the jobs that still need one).
    void expire(const std::set<std::uint64_t>& jobs);
    /// Reserves the machine that is likely to have room first, unless one is reserved for the job
    /// already or too many are reserved.
    void reserve_for(const state::Job& job);

  private:
    bool can_be_reserved(const state::Job& job, const state::Machine& machine) const;
    double expected_wait_s(const state::Machine& machine) const;

    const sansio::Context& context_;
    state::ClusterState& state_;
    const state::WorkerLiveness& liveness_;
    const AvailabilityEstimator& availability_;
};

}  // namespace dunebridge::scheduler
