/// \file
/// The preconditions under which one transaction decides several requests.
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

/// The ancestors whose terminal records the request's transaction must rule out: none if they have
/// been checked before, or if the leader and polls see to them. Valid as long as the request and
/// the job's entry in the cache are unchanged.
std::span<const JobId> guarded_ancestors(const JobRequest& request, const JobCache& cache);

/// The guarded ancestors that have turned out to be terminal.
std::vector<JobId> terminal_ancestors(const JobRequest& request, const JobCache& cache,
                                      const FailedKeys& failed);

/// Collects preconditions for a batch of requests, each key once.
class BatchPreconditions {
  public:
    explicit BatchPreconditions(const JobCache& cache) : cache_(cache) {}

    /// Requires that the job's record has that revision (0: does not exist) and that neither the
    /// job nor a guarded ancestor has a terminal record. Returns false, and adds nothing, if
    /// another request about the same job has been added.
    bool add(const JobRequest& request, KeyRevision job_record);

    /// How many there would be, at most, with this request.
    std::size_t max_size_with(const JobRequest& request) const;
    const std::vector<wire::Precondition>& all() const { return preconditions_; }

  private:
    void require_not_terminal(const JobId& job);

    const JobCache& cache_;
    std::vector<wire::Precondition> preconditions_;
    std::set<JobId> jobs_;          ///< Jobs of requests.
    std::set<JobId> not_terminal_;  ///< Jobs whose terminal records are ruled out.
};

}  // namespace dunebridge::api
