#include "api/linearizable_read_queue.hpp"

#include "api/request_limits.hpp"
#include "kv/keys.hpp"

namespace dunebridge::api {

LinearizableReadQueue::LinearizableReadQueue(kv::KvClient& kv_client, JobCache& cache,
                                             JobResponder& responder, RequestPipeline& pipeline)
    : kv_client_(kv_client), cache_(cache), responder_(responder), pipeline_(pipeline) {}

bool LinearizableReadQueue::may_send() const {
    return !queue_.empty() && in_flight_ < kMaxReadTransactions;
}

void LinearizableReadQueue::drop_front_while(const DropPredicate& drop) {
    while (!queue_.empty() && drop(queue_.front())) queue_.pop_front();
}

void LinearizableReadQueue::send() {
    BatchPreconditions preconditions(cache_);
    std::vector<Confirmation> confirmations;
    while (!queue_.empty() &&
           preconditions.max_size_with(queue_.front()) <= kv_client_.max_preconditions()) {
        auto request = std::move(queue_.front());
        queue_.pop_front();
        const auto required_record = cache_.record(request.job);
        preconditions.add(request, required_record);
        confirmations.push_back({std::move(request), required_record});
    }
    ++in_flight_;
    kv_client_.compare_and_swap(preconditions.all(), {}, kReadTimeout,
                                [this, confirmations = std::move(confirmations)](
                                    const kv::TransactionResult& result) mutable {
                                    --in_flight_;
                                    handle_result(std::move(confirmations), result);
                                });
}

void LinearizableReadQueue::handle_result(std::vector<Confirmation> confirmations,
                                          const kv::TransactionResult& result) {
    const FailedKeys failed(result.conflicting_keys.begin(), result.conflicting_keys.end());
    for (auto& confirmation : confirmations) {
        if (result.outcome == kv::TransactionOutcome::ok) {
            handle_confirmed(std::move(confirmation));
        } else if (result.outcome == kv::TransactionOutcome::conflict) {
            handle_conflict(std::move(confirmation.request), failed);
        } else {
            responder_.respond_unavailable(confirmation.request);
        }
    }
}

// The transaction decides, not the cache, which may have evicted the job since the transaction was
// sent. A job that has been accepted in the meantime is accepted, too.
bool LinearizableReadQueue::is_accepted(const Confirmation& confirmation) const {
    return confirmation.required_record != KeyRevision() ||
           cache_.record(confirmation.request.job) != KeyRevision();
}

// A cancellation is queued here only if its job had no job record. If the job has been accepted
// since, the cancellation must end it: that the job is open is no answer to the user.
void LinearizableReadQueue::handle_confirmed(Confirmation confirmation) {
    if (!is_accepted(confirmation)) {
        responder_.respond_unknown(confirmation.request);
    } else if (confirmation.request.kind == RequestKind::cancellation) {
        pipeline_.commit_cancellation(std::move(confirmation.request));
    } else {
        responder_.respond_open(confirmation.request);
    }
}

// Only the reported keys are known to have changed. A request to which none of them applies
// is retried: its list of terminal ancestors is empty, so resolve_ancestors() queues it again.
void LinearizableReadQueue::handle_conflict(JobRequest request, const FailedKeys& failed) {
    if (failed.contains(kv::terminal_key(request.job))) {
        pipeline_.look_up(std::move(request), JobLookup::RecordKind::terminal_record);
    } else if (failed.contains(kv::job_key(request.job))) {
        pipeline_.look_up(std::move(request), JobLookup::RecordKind::job_record);
    } else {
        auto terminal = terminal_ancestors(request, cache_, failed);
        pipeline_.resolve_ancestors(std::move(request), std::move(terminal));
    }
}

}  // namespace dunebridge::api
