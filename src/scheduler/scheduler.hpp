// The paper's rule (MBFCBS) over all machines, as adapted in docs/design.md: best fit to the
// fullest machine; a high-priority task that fits nowhere stops the first fitting best-effort
// task; best effort never preempts; waiting tasks are held, not bound.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "config/config.hpp"
#include "sansio/context.hpp"
#include "scheduler/bin_packing.hpp"
#include "scheduler/pending_queue.hpp"
#include "state/cluster_state.hpp"
#include "state/run_time_estimator.hpp"
#include "state/worker_liveness.hpp"

namespace dunebridge::scheduler {

class Scheduler {
  public:
    Scheduler(sansio::Context& port, state::ClusterState& cluster_state,
              const state::WorkerLiveness& liveness, const state::RunTimeEstimator& run_times,
              const config::Config& config);

    // One pass: places what waits, and stops what must make room. Returns how many jobs waited.
    std::size_t run();

  private:
    // What a job asks of a machine: jobs of like tasks that fit nowhere are decided as a class.
    using TaskShape = std::tuple<double, double, double, bool, std::optional<std::string>,
                                 std::optional<std::vector<std::string>>>;

    TaskShape shape_of(const state::Job& job) const;
    void collect_capacities(const std::vector<PendingJob>& waiting);
    void add_capacity(state::Machine& machine);
    double earliest_s(const state::Machine& machine) const;
    std::size_t quota_left(const state::Job& job) const;
    bool allowed(const state::Job& job, const state::Machine& machine) const;
    void place(const PendingJob& waiting);
    void begin(const PendingJob& waiting);
    void reserve_machine(const state::Job& job);
    std::size_t fill(state::Job& job, std::size_t most);
    void preempt_for(const state::Job& job, std::size_t tasks);
    void find_victims();

    sansio::Context& context_;
    state::ClusterState& state_;
    const state::WorkerLiveness& liveness_;
    const state::RunTimeEstimator& run_time_estimator_;
    const config::Config& config_;
    PendingQueue pending_queue_;

    // Of the pass under way.
    std::vector<state::Machine*> machines_;
    std::vector<FreeCapacity> capacities_;
    std::vector<state::Machine*> full_machines_;  // without room for any waiting task
    std::set<TaskShape> nowhere_;                 // fit no machine now
    std::set<TaskShape> exhausted_;               // nor does stopping others help them
    struct Victim {
        state::Placement* placement;
        std::size_t room;
    };
    std::optional<std::vector<Victim>> victims_;
};

}  // namespace dunebridge::scheduler
