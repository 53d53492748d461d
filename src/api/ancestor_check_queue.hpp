/// \file
/// Holds reads of jobs with very many ancestors until these have been checked.
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

/// Where a job has more ancestors than one transaction can guard, whether one is terminal is found
/// out before its response is confirmed. Requests about the same job share one check.
class AncestorCheckQueue {
  public:
    /// `read_budget` is shared with the caller, which owns it.
    AncestorCheckQueue(sansio::Context& context, kv::KvClient& kv_client,
                       const config::Config& config, TokenBucket& read_budget, JobCache& cache,
                       JobResponder& responder, RequestPipeline& pipeline);

    /// Whether the ancestors of the request's job must be checked first. If a recent check is still
    /// valid, notes so in the request and returns false.
    bool needs_check(JobRequest& request) const;
    /// Holds the request until its job's ancestors have been checked.
    void push(JobRequest request);
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
