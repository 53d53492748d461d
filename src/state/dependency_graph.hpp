/// \file
/// Dependencies between jobs.
///
/// Only a committed terminal record of a dependency makes a dependent job runnable or cancels it.
/// Each job keeps the set of its unmet dependencies, and the graph holds the reverse edges. The
/// graph also propagates each job's priority and latest end to the jobs that it depends on.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

#include "kv/client.hpp"
#include "sansio/context.hpp"
#include "state/job.hpp"

namespace dunebridge::state {

/// The dependencies between the jobs of the cluster state.
class DependencyGraph {
  public:
    /// Functions that the owner of the graph provides.
    struct Callbacks {
        /// Returns true if this node still leads in the term in which the graph was last cleared.
        std::function<bool()> active;
        /// Cancels a job that depends on a cancelled job. None of its tasks has started.
        std::function<void(Job&)> cancel;
    };

    /// All references must outlive the graph.
    DependencyGraph(sansio::Context& context, kv::KvClient& kv_client, std::map<JobId, Job>& jobs,
                    Callbacks callbacks);

    /// Removes all edges, and drops the reads and timers in progress.
    void clear();
    /// Adds the dependencies that the job's submission names; has no effect if the job is not
    /// active or has started. Reads the terminal records of dependencies that are not known to be
    /// open.
    void add(Job& job);
    /// To be called once the job's terminal record is committed. Marks the dependency as met, or
    /// cancels all direct and indirect dependents if the job was cancelled.
    void handle_job_end(const JobId& id, wire::JobPhase final_phase);
    /// Reads the job's terminal record if other jobs depend on it.
    void read_terminal_record(const JobId& id);

  private:
    void read_terminal_records();
    void apply_terminal_records(const kv::MultiGetResult& rows);
    void propagate_priority(const Job& from);
    Job* find(const JobId& id);
    /// Calls `callback` after the delay unless the graph has been cleared in the meantime.
    void call_after(Millis delay, std::function<void()> callback);

    sansio::Context& context_;
    kv::KvClient& kv_client_;
    std::map<JobId, Job>& jobs_;
    Callbacks callbacks_;
    /// Jobs that wait for the job of the key.
    std::unordered_map<JobId, std::vector<JobId>> dependents_;
    /// Dependencies whose terminal records are still to be read.
    std::set<JobId> unread_terminal_records_;
    /// A read or the timer for the next one is in progress.
    bool reading_ = false;
    /// Number of calls of clear(): callbacks of earlier reads and timers are dropped.
    std::uint64_t clear_count_ = 0;
};

}  // namespace dunebridge::state
