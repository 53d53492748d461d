/// \file
/// Queue of read requests for jobs whose ancestors must be checked first.
#pragma once

#include <map>
#include <vector>

#include "api/ancestor_check.hpp"
#include "api/job_cache.hpp"
#include "api/job_request.hpp"
#include "api/job_responder.hpp"
#include "api/request_pipeline.hpp"
#include "base/token_bucket.hpp"
#include "config/config.hpp"
#include "kv/client.hpp"
#include "sansio/context.hpp"

namespace dunebridge::api {

/// Queues requests for jobs that have more ancestors than one transaction may have preconditions.
/// Their ancestors are checked before the transaction that confirms the response. Requests for the
/// same job share one check.
class AncestorCheckQueue {
  public:
    /// `read_budget` is owned by the caller and must outlive the queue.
    AncestorCheckQueue(sansio::Context& context, kv::KvClient& kv_client,
                       const config::Config& config, TokenBucket& read_budget, JobCache& cache,
                       JobResponder& responder, RequestPipeline& pipeline);

    /// Returns whether the ancestors of the request's job must be checked first. If an earlier
    /// check is still valid, sets `request.ancestors_checked` and returns false.
    bool needs_check(JobRequest& request) const;
    /// Queues the request until its job's ancestors have been checked; starts a check if none is
    /// running.
    void push(JobRequest request);
    /// Removes the requests for which the predicate returns true.
    void drop_if(const DropPredicate& drop);

  private:
    void handle_check_finished(const JobId& job, AncestorCheck::Outcome outcome,
                               const std::vector<JobId>& terminal);

    kv::KvClient& kv_client_;
    JobCache& cache_;
    JobResponder& responder_;
    RequestPipeline& pipeline_;
    AncestorCheck check_;
    std::map<JobId, std::vector<JobRequest>> waiting_;
};

}  // namespace dunebridge::api
