/// \file
/// Preemption: stops best-effort tasks so that high-priority tasks get their machines.
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

/// Makes room for tasks that fit nowhere now.
///
/// What it sets aside is kept for the length of the pass only. In the next pass the tasks that are
/// being stopped count as capacity that will be free, and it is set aside again.
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

    /// Sets capacity aside for so many tasks of the job: first what tasks that are being stopped
    /// will leave, then what the first fitting best-effort tasks leave, which are stopped for it.
    void make_room(const state::Job& job, std::size_t tasks);
    /// Ends the pass.
    void clear();

  private:
    /// A task that may be preempted.
    struct Candidate {
        state::Placement* placement;
        MachineIndex machine;
    };

    bool may_be_preempted(const state::Placement& placement) const;
    void find_candidates();
    void use_stopping_tasks(const state::Job& job, std::size_t& tasks);
    void preempt_tasks(const state::Job& job, std::size_t& tasks);
    void set_aside(const state::Job& job, MachineIndex index, std::size_t& tasks);
    void preempt(const Candidate& candidate, const state::Job& for_job);

    sansio::Context& context_;
    state::ClusterState& state_;
    const PendingQueue& pending_queue_;
    const AvailabilityEstimator& availability_;
    CapacityTable& capacities_;
    /// Of this pass, the least work to lose first; not looked for until they are needed.
    std::optional<std::vector<Candidate>> candidates_;
    /// Shapes for which preemption was found to make no more room in this pass.
    std::set<TaskShape> exhausted_shapes_;
};

}  // namespace dunebridge::scheduler
