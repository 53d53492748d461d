/// \file
/// The scheduler: places pending tasks on machines and preempts running tasks where necessary.
///
/// It applies the MBFCBS algorithm to all machines, as adapted in docs/design.md:
///  - A task is placed by best fit, on the fullest machine that has room for it.
///  - A high-priority task that fits nowhere preempts the first best-effort task whose resources
///    make room for it.
///  - Best-effort tasks never preempt.
///  - Pending tasks stay in a queue and are not assigned to a machine in advance.
#pragma once

#include <cstddef>
#include <vector>

#include "config/config.hpp"
#include "sansio/context.hpp"
#include "scheduler/availability_estimator.hpp"
#include "scheduler/best_fit_placement.hpp"
#include "scheduler/capacity_table.hpp"
#include "scheduler/machine_reservations.hpp"
#include "scheduler/pending_queue.hpp"
#include "scheduler/preemption.hpp"
#include "state/cluster_state.hpp"
#include "state/run_time_estimator.hpp"
#include "state/worker_liveness.hpp"

namespace dunebridge::scheduler {

/// Assigns pending tasks to machines. Runs only on the leader, once its cluster state is loaded.
///
/// The scheduler changes only the cluster state in memory. A placement is written to the key-value
/// store before the start command is sent to the worker; other components do both. The objects
/// passed to the constructor must outlive the scheduler.
class Scheduler {
  public:
    Scheduler(sansio::Context& context, state::ClusterState& cluster_state,
              const state::WorkerLiveness& liveness,
              const state::RunTimeEstimator& run_time_estimator, const config::Config& config);

    /// Runs one scheduling pass: places pending tasks and preempts tasks where necessary. Returns
    /// the number of jobs that had tasks to place at the beginning of the pass.
    std::size_t run();

  private:
    void build_capacity_table(const std::vector<PendingJob>& pending);
    void release_stale_reservations(const std::vector<PendingJob>& pending);
    std::size_t tasks_within_quota(const state::Job& job);
    void place_tasks(const PendingJob& pending);
    void place_first_task(const PendingJob& pending);

    sansio::Context& context_;
    state::ClusterState& state_;
    const config::Config& config_;
    PendingQueue pending_queue_;
    AvailabilityEstimator availability_;
    MachineReservations reservations_;
    CapacityTable capacities_;
    BestFitPlacement best_fit_;
    Preemption preemption_;
};

}  // namespace dunebridge::scheduler
