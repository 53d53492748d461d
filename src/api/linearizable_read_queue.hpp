/// \file
/// Confirms responses which say that a job is open or unknown, many in one transaction.
#pragma once

#include <cstddef>
#include <deque>
#include <utility>
#include <vector>

#include "api/batch_preconditions.hpp"
#include "api/job_cache.hpp"
#include "api/job_request.hpp"
#include "api/job_responder.hpp"
#include "api/request_pipeline.hpp"
#include "kv/client.hpp"

namespace dunebridge::api {

/// Linearizable reads: what the cache says of an open or unknown job may be out of date, as any
/// node may have ended it since. A transaction that only compares confirms that the job record is
/// the one in the cache and that neither the job nor a guarded ancestor is terminal. Without it the
/// request is refused, so that no response is older than one that some node has given before. A job
/// with a cancelled ancestor counts as cancelled, also before the leader has written that.
class LinearizableReadQueue {
  public:
    LinearizableReadQueue(kv::KvClient& kv_client, JobCache& cache, JobResponder& responder,
                          RequestPipeline& pipeline);

    std::size_t size() const { return queue_.size(); }
    void push(JobRequest request) { queue_.push_back(std::move(request)); }
    /// Whether there are requests, and another transaction may be sent for them.
    bool may_send() const;
    /// Sends one transaction for as many requests as it has room for. The caller keeps to the read
    /// budget.
    void send();
    /// Drops requests from the front for as long as the condition holds.
    void drop_front_while(const DropPredicate& drop);

  private:
    void handle_result(std::vector<JobRequest> requests, const kv::TransactionResult& result);
    void handle_conflict(JobRequest request, const FailedKeys& failed);

    kv::KvClient& kv_client_;
    JobCache& cache_;
    JobResponder& responder_;
    RequestPipeline& pipeline_;
    std::deque<JobRequest> queue_;
    int in_flight_ = 0;  ///< Transactions.
};

}  // namespace dunebridge::api
