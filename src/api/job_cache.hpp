// What this node has read of jobs. An end never changes; that a job is open must be confirmed
// before each answer that says so. Bounded: the jobs asked about for the first time longest ago go
// first.
#pragma once

#include <list>
#include <optional>
#include <unordered_map>
#include <vector>

#include "base/types.hpp"
#include "wire/messages.hpp"

namespace dunebridge::api {

class JobCache {
  public:
    struct Entry {
        KeyRevision record;  // revision of job/<id>; 0: no record
        // What must be done before it, through other jobs too, and was not when last looked at.
        std::vector<JobId> ancestors;
        // How it ended, if answers may say so.
        std::optional<wire::JobStatus> end;
    };

    // Null if nothing is known of the job.
    const Entry* find(const JobId& job) const;
    bool known_done(const JobId& job) const;
    const std::vector<JobId>& ancestors(const JobId& job) const;

    // Creates the entry if there is none.
    void set_record(const JobId& job, KeyRevision record);
    void set_end(const JobId& job, const wire::JobStatus& end);
    // Those that are known to be done are left out.
    void set_ancestors(const JobId& job, std::vector<JobId> ancestors);
    void remove_ancestor(const JobId& job, const JobId& ancestor);

  private:
    struct Slot {
        Entry entry;
        std::list<JobId>::iterator age;
    };
    Slot& slot(const JobId& job);
    void evict();

    std::list<JobId> ages_;  // the oldest first
    std::unordered_map<JobId, Slot> slots_;
    std::size_t ancestors_kept_ = 0;  // of all entries
};

}  // namespace dunebridge::api
