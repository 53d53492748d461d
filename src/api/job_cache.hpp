/// \file
/// What this node has read of jobs from the key-value store.
#pragma once

#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

#include "base/types.hpp"
#include "wire/messages.hpp"

namespace dunebridge::api {

/// A bounded cache of jobs' states; the jobs that were first asked about longest ago are evicted
/// first.
///
/// A terminal state never changes, so a response may give it from here. That a job is open may have
/// changed since: it must be confirmed before each response that says so.
class JobCache {
  public:
    struct Entry {
        /// Revision of the job record; 0 if it has none.
        KeyRevision record;
        /// Jobs that must be done before this one, also through others, and were not when last
        /// read.
        std::vector<JobId> ancestors;
        /// The terminal state, if responses may show it.
        std::optional<wire::JobStatus> terminal;
    };

    /// Null if nothing is known of the job. Valid until the cache is next changed.
    const Entry* find(const JobId& job) const;
    bool is_known_done(const JobId& job) const;
    /// Empty if nothing is known of the job. Valid until the cache is next changed.
    const std::vector<JobId>& ancestors(const JobId& job) const;

    // Each of these creates the entry if there is none.

    void set_record(const JobId& job, KeyRevision record);
    void set_terminal(const JobId& job, const wire::JobStatus& terminal);
    /// Leaves out ancestors that are known to be done.
    void set_ancestors(const JobId& job, std::vector<JobId> ancestors);

    /// Does nothing if the job or the ancestor is not there.
    void remove_ancestor(const JobId& job, const JobId& ancestor);

  private:
    Entry& entry(const JobId& job);
    void evict_oldest();

    std::unordered_map<JobId, Entry> entries_;
    std::deque<JobId> insertion_order_;  ///< Each job of entries_, by when it was added.
    std::size_t ancestor_count_ = 0;     ///< Of all entries together.
};

}  // namespace dunebridge::api
