/// \file
/// Which jobs wait on which others. What lets a job start, or cancels it, are committed ends alone.
///
/// Each job keeps the set of its open dependencies; the graph holds the reverse edges. It also
/// spreads the priority and the latest end that a job asks of those before it.
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

/// Which jobs wait for which others, and the order that this imposes on them.
class DependencyGraph {
  public:
    struct Callbacks {
        // Whether the leadership in which the graph was last cleared still holds.
        std::function<bool()> active;
        // A job that a cancelled one was needed for: it has begun nothing, and ends with it.
        std::function<void(Job&)> cancel;
    };

    DependencyGraph(sansio::Context& port, kv::KvClient& store, std::map<JobId, Job>& jobs,
                    Callbacks callbacks);

    void clear();
    /// The job waits on all that its submission names. Ends that are not known here are read.
    void add(Job& job);
    /// The job's end is committed: those that wait on it go on, or are cancelled, and so on.
    void handle_job_end(const JobId& id, wire::JobPhase how);
    /// Reads how the job ended, if any other waits on it.
    void read_terminal_record(const JobId& id);

  private:
    void read_ends();
    void take_ends(const kv::MultiGetResult& rows);
    void propagate_priority(const Job& from);
    Job* find(const JobId& id);
    /// Runs it after the delay, if the graph has not been cleared meanwhile.
    void after(Millis delay, std::function<void()> then);

    sansio::Context& context_;
    kv::KvClient& kv_client_;
    std::map<JobId, Job>& jobs_;
    Callbacks callbacks_;
    std::unordered_map<JobId, std::vector<JobId>> dependents_;  // open jobs, by what they wait on
    std::set<JobId> unread_ends_;                               // of jobs that are waited on
    bool reading_ = false;
    std::uint64_t clears_ = 0;
};

}  // namespace dunebridge::state
