/// \file
/// Tells jobs that fail on every machine from machines on which every job fails.
///
/// A task's error alone points at neither. A machine is at fault if several jobs fail on it, the
/// more so if those jobs succeed elsewhere; a job is at fault if it fails on several machines that
/// nothing else tells against. Neither verdict is final: a task that succeeds clears its job and
/// its machine, and what is found of the one is no evidence against the other any more.
///
/// A faulty job is tried again after pauses that grow to a limit, a few tasks at a time however
/// large it is: it must neither drain healthy machines one after the other nor fill the fleet, and
/// a job that recovers must be noticed.
#pragma once

#include "sansio/context.hpp"
#include "state/cluster_state.hpp"
#include "state/job.hpp"
#include "state/machine.hpp"

namespace dunebridge::workers {

/// Tells jobs that fail on every machine from machines on which every job fails.
class FailureAttribution {
  public:
    FailureAttribution(sansio::Context& context, state::ClusterState& cluster_state)
        : context_(context), state_(cluster_state) {}

    void record_success(state::Job& job, state::Machine& machine);
    void record_failure(state::Job& job, state::Machine& machine);
    /// Starts the job again after a pause only, which grows from one time to the next.
    void start_backoff(state::Job& job);

  private:
    void clear_evidence_against_job(state::Job& job);
    std::uint32_t evidence_against(const state::Machine& machine) const;
    bool failed_everywhere(const state::Job& job) const;
    void mark_job_faulty(state::Job& job);
    void cordon(state::Machine& machine);
    void uncordon_if_cleared(state::Machine& machine);

    sansio::Context& context_;
    state::ClusterState& state_;
};

}  // namespace dunebridge::workers
