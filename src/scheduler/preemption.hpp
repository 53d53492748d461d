/// \file
/// Preemption of best-effort tasks in favour of high-priority tasks.
#pragma once

#include <cstddef>
#include <optional>
#include <set>
#include <vector>

#include "sansio/context.hpp"
#include "scheduler/availability_estimator.hpp"
#include "scheduler/capacity_table.hpp"
#include "scheduler/pending_queue.hpp"
#include "scheduler/task_constraints.hpp"
#include "state/cluster_state.hpp"

namespace dunebridge::scheduler {

/// Frees capacity for high-priority tasks that fit on no machine now.
///
/// The capacity that it reserves is tracked in the CapacityTable and so only during one scheduling
/// pass. In the next pass, the tasks that are being stopped count as capacity that will become
/// free, and it is reserved again. The objects passed to the constructor must outlive this one.
class Preemption {
  public:
    Preemption(sansio::Context& context, state::ClusterState& cluster_state,
               const PendingQueue& pending_queue, const AvailabilityEstimator& availability,
               CapacityTable& capacities)
        : context_(context),
          state_(cluster_state),
          pending_queue_(pending_queue),
          availability_(availability),
          capacities_(capacities) {}

    /// Reserves capacity for up to `tasks` tasks of the job: first the capacity that tasks which
    /// are being stopped will release, then that of best-effort tasks, which it stops for this
    /// purpose.
    void make_room(const state::Job& job, std::size_t tasks);
    /// Discards the state of the current scheduling pass.
    void clear();

  private:
    /// A task that may be preempted.
    struct Candidate {
        state::Placement* placement;
        MachineIndex machine;
    };

    bool may_be_preempted(const state::Placement& placement) const;
    void collect_candidates();
    void reserve_stopping_capacity(const state::Job& job, std::size_t& tasks);
    void preempt_tasks(const state::Job& job, std::size_t& tasks);
    void reserve_for_tasks(const state::Job& job, MachineIndex index, std::size_t& tasks);
    void preempt(const Candidate& candidate, const state::Job& for_job);

    sansio::Context& context_;
    state::ClusterState& state_;
    const PendingQueue& pending_queue_;
    const AvailabilityEstimator& availability_;
    CapacityTable& capacities_;
    /// Candidates of this pass, those that lose the least work first. Empty until they are needed,
    /// as collecting them visits the placements of all machines.
    std::optional<std::vector<Candidate>> candidates_;
    /// Shapes for which preemption cannot free any more capacity in this pass.
    std::set<TaskShape> exhausted_shapes_;
};

}  // namespace dunebridge::scheduler
