/// \file
/// Cache of the job states that this node has read from the key-value store.
#pragma once

#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

#include "base/types.hpp"
#include "config/job_cache_limits.hpp"
#include "wire/messages.hpp"

namespace dunebridge::api {

/// A bounded cache of job states with first-in, first-out eviction.
///
/// A terminal state never changes, so a response may use the cached one. An open job may have ended
/// since it was read: each response that calls a job open must be confirmed first.
class JobCache {
  public:
    /// The known state of one job.
    struct Entry {
        /// Revision of the job record; 0 if the job has none.
        KeyRevision record;
        /// Direct and transitive dependencies that were not done when last read.
        std::vector<JobId> ancestors;
        /// The terminal state, if it is known and responses may show it.
        std::optional<wire::JobStatus> terminal;
    };

    explicit JobCache(const config::JobCacheLimits& limits) : limits_(limits) {}

    /// Returns the job's entry, or null if there is none. Valid until the cache is next changed.
    const Entry* find(const JobId& job) const;
    /// Returns the revision of the job record; 0 if the job has none or there is no entry.
    KeyRevision record(const JobId& job) const;
    /// Returns whether the job is known to be done; false if there is no entry.
    bool is_known_done(const JobId& job) const;
    /// Returns the job's ancestors; empty if there is no entry. Valid until the cache is next
    /// changed.
    const std::vector<JobId>& ancestors(const JobId& job) const;

    // The setters create the entry if there is none.

    /// Sets the revision of the job record and the ancestors, which must be complete: a response
    /// that calls the job open is confirmed only against the ancestors that are cached. Those that
    /// are known to be done are omitted.
    void set_open(const JobId& job, KeyRevision record, std::vector<JobId> ancestors);
    /// Sets that the job has no job record.
    void set_no_record(const JobId& job);
    /// Also removes the job's ancestors, which are no longer needed.
    void set_terminal(const JobId& job, const wire::JobStatus& terminal);

    /// Does nothing if there is no entry for the job or it does not list the ancestor.
    void remove_ancestor(const JobId& job, const JobId& ancestor);

  private:
    Entry& entry(const JobId& job);
    void set_ancestors(const JobId& job, std::vector<JobId> ancestors);
    void evict_oldest();

    const config::JobCacheLimits limits_;
    std::unordered_map<JobId, Entry> entries_;
    std::deque<JobId> insertion_order_;  ///< Jobs in entries_, oldest entry first.
    std::size_t ancestor_count_ = 0;     ///< Sum over all entries.
};

}  // namespace dunebridge::api
