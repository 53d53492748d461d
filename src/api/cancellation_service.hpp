/// \file
/// Cancels jobs at a user's request, or because an ancestor is cancelled.
#pragma once

#include "api/job_cache.hpp"
#include "api/job_request.hpp"
#include "api/job_responder.hpp"
#include "api/request_pipeline.hpp"
#include "kv/client.hpp"
#include "sansio/context.hpp"

namespace dunebridge::api {

/// Cancels a job by creating its terminal record. The record is created only if there is none, so a
/// job ends only once. Any node may cancel a job; the leader stops its tasks.
class CancellationService {
  public:
    CancellationService(sansio::Context& context, kv::KvClient& kv_client, const JobCache& cache,
                        JobResponder& responder, RequestPipeline& pipeline);

    /// Handles a user's request to cancel a job. Unless the cache says that the job is terminal,
    /// the job is looked up first, because it may be terminal or unknown.
    void cancel(JobRequest request);
    /// Creates the terminal record on condition that the job record still has the revision in the
    /// cache and that no terminal record exists. If the condition fails, the job is looked up
    /// again.
    void commit(JobRequest request);

  private:
    void handle_result(JobRequest request, const kv::TransactionResult& result);

    sansio::Context& context_;
    kv::KvClient& kv_client_;
    const JobCache& cache_;
    JobResponder& responder_;
    RequestPipeline& pipeline_;
};

}  // namespace dunebridge::api
