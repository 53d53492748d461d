/// \file
/// Preconditions of a transaction that serves a batch of requests.
#pragma once

#include <cstddef>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "api/job_cache.hpp"
#include "api/job_request.hpp"
#include "wire/messages.hpp"

namespace dunebridge::api {

/// Keys of a transaction whose preconditions failed.
using FailedKeys = std::set<std::string>;

/// Returns the guarded ancestors: those that the request's transaction requires to have no terminal
/// record. Empty if they have already been checked, or if checking them is left to polls and to the
/// leader. The span is valid as long as the request and the job's cache entry are unchanged.
std::span<const JobId> guarded_ancestors(const JobRequest& request, const JobCache& cache);

/// Returns the guarded ancestors whose precondition failed because they are terminal.
std::vector<JobId> terminal_ancestors(const JobRequest& request, const JobCache& cache,
                                      const FailedKeys& failed);

/// Collects the preconditions of a batch of requests. Each key occurs only once.
class BatchPreconditions {
  public:
    explicit BatchPreconditions(const JobCache& cache) : cache_(cache) {}

    /// Requires that the job record has the revision `job_record` (0: does not exist) and that
    /// neither the job nor a guarded ancestor has a terminal record. Returns false and adds nothing
    /// if a request for the same job has already been added.
    bool add(const JobRequest& request, KeyRevision job_record);

    /// Returns an upper bound on the number of preconditions after add(request).
    std::size_t max_size_with(const JobRequest& request) const;
    const std::vector<wire::Precondition>& all() const { return preconditions_; }

  private:
    void require_not_terminal(const JobId& job);

    const JobCache& cache_;
    std::vector<wire::Precondition> preconditions_;
    std::set<JobId> jobs_;          ///< Jobs of the added requests.
    std::set<JobId> not_terminal_;  ///< Jobs required to have no terminal record.
};

}  // namespace dunebridge::api
