/// \file
/// Confirms responses that report a job as open or unknown, many in one transaction.
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

/// Queue of linearizable reads. The cached state of an open or unknown job may be stale, because
/// any node may have changed it. A transaction without writes confirms that the job record still
/// has the cached revision and that neither the job nor a guarded ancestor is terminal. A request
/// that cannot be confirmed is refused, so that no response is staler than an earlier one from any
/// node. A job with a cancelled ancestor counts as cancelled even before the leader has recorded
/// that.
class LinearizableReadQueue {
  public:
    LinearizableReadQueue(kv::KvClient& kv_client, JobCache& cache, JobResponder& responder,
                          RequestPipeline& pipeline);

    std::size_t size() const { return queue_.size(); }
    void push(JobRequest request) { queue_.push_back(std::move(request)); }
    /// Returns whether there are requests and fewer than kMaxReadTransactions are in flight.
    bool may_send() const;
    /// Sends one transaction for as many requests as its limit on preconditions allows. The caller
    /// is responsible for the read budget.
    void send();
    /// Removes requests from the front for as long as the predicate returns true.
    void drop_front_while(const DropPredicate& drop);

  private:
    /// A request in a transaction, with the revision that the transaction requires of its job
    /// record; 0: that there is none.
    struct Confirmation {
        JobRequest request;
        KeyRevision required_record;
    };

    void handle_result(std::vector<Confirmation> confirmations,
                       const kv::TransactionResult& result);
    bool is_accepted(const Confirmation& confirmation) const;
    void handle_confirmed(Confirmation confirmation);
    void handle_conflict(JobRequest request, const FailedKeys& failed);

    kv::KvClient& kv_client_;
    JobCache& cache_;
    JobResponder& responder_;
    RequestPipeline& pipeline_;
    std::deque<JobRequest> queue_;
    int in_flight_ = 0;  ///< Number of transactions.
};

}  // namespace dunebridge::api
