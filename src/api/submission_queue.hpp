/// \file
/// Creates the records of submitted jobs, several submissions in one transaction.
#pragma once

#include <cstddef>
#include <deque>
#include <vector>

#include "api/batch_preconditions.hpp"
#include "api/job_cache.hpp"
#include "api/job_request.hpp"
#include "api/job_responder.hpp"
#include "api/request_pipeline.hpp"
#include "base/token_bucket.hpp"
#include "config/config.hpp"
#include "kv/client.hpp"
#include "sansio/context.hpp"

namespace dunebridge::api {

/// Queue of prepared submissions.
///
/// A job is accepted by creating its job record on condition that neither a job record nor a
/// terminal record exists. Submissions are therefore idempotent: a repeated one creates no second
/// job. The same transaction requires that no guarded ancestor is terminal.
class SubmissionQueue {
  public:
    SubmissionQueue(sansio::Context& context, kv::KvClient& kv_client, const config::Config& config,
                    JobCache& cache, JobResponder& responder, RequestPipeline& pipeline);

    std::size_t size() const { return queue_.size(); }
    void push(JobRequest request) { queue_.push_back(std::move(request)); }
    /// Sends transactions as far as the write budget and kMaxWriteTransactions allow.
    void send();
    /// Removes requests from the front for as long as the predicate returns true.
    void drop_front_while(const DropPredicate& drop);

  private:
    /// The content of one transaction.
    struct Batch {
        std::vector<JobRequest> requests;
        BatchPreconditions preconditions;
        std::vector<wire::Write> writes;
        std::size_t bytes = 0;  ///< Size of the writes.
    };

    /// Returns the tokens that the next transaction takes from the write budget.
    double next_cost() const;
    /// Removes as many requests from the front of the queue as fit one transaction. Requests for
    /// the same job share one set of writes.
    Batch take_batch();
    bool fits(const Batch& batch, const JobRequest& request) const;
    void send(Batch batch);
    void handle_result(std::vector<JobRequest> requests, const kv::TransactionResult& result);
    void handle_created(const JobRequest& request, KeyRevision revision);
    void handle_conflict(JobRequest request, const FailedKeys& failed);

    sansio::Context& context_;
    kv::KvClient& kv_client_;
    const config::Config& config_;
    JobCache& cache_;
    JobResponder& responder_;
    RequestPipeline& pipeline_;
    TokenBucket write_budget_;
    std::deque<JobRequest> queue_;
    int in_flight_ = 0;  ///< Number of transactions.
};

}  // namespace dunebridge::api
