/// \file
/// Attribution of task failures to faulty jobs or faulty machines.
///
/// The failure of a single task does not tell whether the job or the machine is at fault. A machine
/// is considered faulty if several jobs fail on it; jobs that have succeeded elsewhere count more.
/// A job is considered faulty if it fails on several machines on which no other job fails. Neither
/// decision is final: a task that succeeds clears the failures of its job and of its machine. Once
/// either the job or the machine is found faulty, their common failures no longer count against the
/// other.
///
/// A faulty job is retried with a backoff that grows up to a limit, and with only a few tasks at a
/// time, however large the job is. It must not cause healthy machines to be drained one after
/// another or fill the fleet, and its recovery must be noticed.
#pragma once

#include "sansio/context.hpp"
#include "state/cluster_state.hpp"
#include "state/job.hpp"
#include "state/machine.hpp"

namespace dunebridge::workers {

/// Distinguishes jobs that fail on every machine from machines on which every job fails.
class FailureAttribution {
  public:
    FailureAttribution(sansio::Context& context, state::ClusterState& cluster_state)
        : context_(context), state_(cluster_state) {}

    /// Records that a task of the job succeeded on the machine: clears the failures of both.
    void record_success(state::Job& job, state::Machine& machine);
    /// Records that a task of the job failed on the machine, and starts a backoff. May mark the job
    /// as faulty or cordon the machine.
    void record_failure(state::Job& job, state::Machine& machine);
    /// Starts a backoff during which no task of the job is placed; each one is longer than the
    /// last, up to a limit. Does nothing during a backoff.
    void start_backoff(state::Job& job);

  private:
    void reset_job_failures(state::Job& job);
    std::uint32_t failure_score(const state::Machine& machine) const;
    bool is_job_at_fault(const state::Job& job) const;
    void mark_job_faulty(state::Job& job);
    void cordon(state::Machine& machine);
    void uncordon_if_below_threshold(state::Machine& machine);

    sansio::Context& context_;
    state::ClusterState& state_;
};

}  // namespace dunebridge::workers
