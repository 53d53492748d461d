/// \file
/// The scheduler: places pending tasks on machines, and preempts others where that is needed.
///
/// It applies the paper's rule (MBFCBS) to all machines, as adapted in docs/design.md: best fit to
/// the fullest machine; a high-priority task that fits nowhere stops the first fitting best-effort
/// task; best effort never preempts; pending tasks are held, not bound to a machine.
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

/// Decides which pending task gets which machine. Runs on the leader only, once its cluster state
/// is loaded.
///
/// It changes the cluster state alone. A placement is recorded in the key-value store before a
/// worker hears of it, which is not the scheduler's business. The objects given to the constructor
/// must outlive it.
class Scheduler {
  public:
    Scheduler(sansio::Context& context, state::ClusterState& cluster_state,
              const state::WorkerLiveness& liveness,
              const state::RunTimeEstimator& run_time_estimator, const config::Config& config);

    /// One scheduling pass: places pending tasks, and stops tasks that must make room. Returns how
    /// many jobs had tasks that could be placed at its beginning.
    std::size_t run();

  private:
    void build_capacity_table(const std::vector<PendingJob>& pending);
    void release_reservations(const std::vector<PendingJob>& pending);
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
