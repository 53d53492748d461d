/// \file
/// Cancels jobs: by a user's request, or because an ancestor is cancelled.
#pragma once

#include "api/job_cache.hpp"
#include "api/job_request.hpp"
#include "api/job_responder.hpp"
#include "api/request_pipeline.hpp"
#include "kv/client.hpp"
#include "sansio/context.hpp"

namespace dunebridge::api {

/// A job ends by the creation of its terminal record, once. Any node may create that of a
/// cancellation; the job's tasks are stopped by the leader.
class CancellationService {
  public:
    CancellationService(sansio::Context& context, kv::KvClient& kv_client, const JobCache& cache,
                        JobResponder& responder, RequestPipeline& pipeline);

    /// Takes a user's request to cancel a job: it is looked up first, as it may be terminal or
    /// unknown.
    void cancel(JobRequest request);
    /// Creates the terminal record, provided that the job record is still the one in the cache and
    /// that there is no terminal record. If there is, the job is looked up again.
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
