/// \file
/// Reservations of machines for starving jobs.
#pragma once

#include <cstdint>
#include <set>

#include "sansio/context.hpp"
#include "scheduler/availability_estimator.hpp"
#include "state/cluster_state.hpp"
#include "state/worker_liveness.hpp"

namespace dunebridge::scheduler {

/// Reserves machines for starving jobs: jobs that have waited long without a first task.
///
/// No other job's tasks are placed on a reserved machine until the first task of the starving job
/// fits. Without reservations, a job with large tasks could wait forever under a steady flow of
/// small tasks. A reservation is limited in time, and the machine is then open to all jobs for a
/// while, so that jobs that would fit on it do not wait too long themselves. Reservations are
/// stored in state::Machine.
class MachineReservations {
  public:
    MachineReservations(const sansio::Context& context, state::ClusterState& cluster_state,
                        const state::WorkerLiveness& liveness,
                        const AvailabilityEstimator& availability)
        : context_(context),
          state_(cluster_state),
          liveness_(liveness),
          availability_(availability) {}

    /// Releases the reservations that have lasted too long and those of jobs that no longer need
    /// one. `starving_jobs` holds the sequence numbers of the jobs that still need one.
    void release_stale(const std::set<std::uint64_t>& starving_jobs);
    /// Reserves for the job the machine that is expected to have room first. Does nothing if a
    /// machine is already reserved for the job, if no machine is suitable, or if too many machines
    /// are reserved.
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
