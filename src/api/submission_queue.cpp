#include "api/submission_queue.hpp"

#include <algorithm>
#include <utility>

#include "api/request_limits.hpp"
#include "kv/keys.hpp"

namespace dunebridge::api {

using wire::JobPhase;

SubmissionQueue::SubmissionQueue(sansio::Context& context, kv::KvClient& kv_client,
                                 const config::Config& config, JobCache& cache,
                                 JobResponder& responder, RequestPipeline& pipeline)
    : context_(context),
      kv_client_(kv_client),
      config_(config),
      cache_(cache),
      responder_(responder),
      pipeline_(pipeline),
      write_budget_(kWriteSharePerNode * config.kv_limits.write_rps()) {}

void SubmissionQueue::drop_front_while(const DropPredicate& drop) {
    while (!queue_.empty() && drop(queue_.front())) queue_.pop_front();
}

void SubmissionQueue::send() {
    while (!queue_.empty() && in_flight_ < kMaxWriteTransactions) {
        const auto cost = next_cost();
        if (!write_budget_.take(cost, context_.now())) {
            context_.request_wake(write_budget_.ready_at(cost, context_.now()));
            return;
        }
        send(take_batch());
    }
}

double SubmissionQueue::next_cost() const {
    std::size_t queued = 0;
    for (const auto& request : queue_) queued += request.submission.writes.size();
    return static_cast<double>(std::min(queued, config_.kv_limits.txn_ops()));
}

SubmissionQueue::Batch SubmissionQueue::take_batch() {
    Batch batch{{}, BatchPreconditions(cache_), {}, 0};
    while (!queue_.empty() && fits(batch, queue_.front())) {
        auto request = std::move(queue_.front());
        queue_.pop_front();
        if (batch.preconditions.add(request, KeyRevision())) {
            const auto& submission = request.submission;
            batch.bytes += submission.bytes;
            batch.writes.insert(batch.writes.end(), submission.writes.begin(),
                                submission.writes.end());
        }
        batch.requests.push_back(std::move(request));
    }
    return batch;
}

bool SubmissionQueue::fits(const Batch& batch, const JobRequest& request) const {
    // Every submission is prepared so that it fits a transaction of its own, so an empty batch
    // accepts any submission.
    if (batch.writes.empty()) return true;
    const auto& submission = request.submission;
    return batch.preconditions.max_size_with(request) <= kv_client_.max_preconditions() &&
           batch.writes.size() + submission.writes.size() <= config_.kv_limits.txn_ops() &&
           batch.bytes + submission.bytes <= kMaxBatchBytes;
}

void SubmissionQueue::send(Batch batch) {
    ++in_flight_;
    kv_client_.compare_and_swap(
        batch.preconditions.all(), batch.writes, kWriteTimeout,
        [this, requests = std::move(batch.requests)](const kv::TransactionResult& result) mutable {
            --in_flight_;
            handle_result(std::move(requests), result);
        });
}

void SubmissionQueue::handle_result(std::vector<JobRequest> requests,
                                    const kv::TransactionResult& result) {
    const FailedKeys failed(result.conflicting_keys.begin(), result.conflicting_keys.end());
    for (auto& request : requests) {
        if (result.outcome == kv::TransactionOutcome::ok) {
            handle_created(request, result.rev);
        } else if (result.outcome == kv::TransactionOutcome::refused && kv_client_.reachable()) {
            // The store's rate limit was exceeded, so nothing was written. The submission is
            // retried as the write budget allows.
            pipeline_.enqueue(std::move(request));
        } else if (result.outcome == kv::TransactionOutcome::conflict) {
            handle_conflict(std::move(request), failed);
        } else {
            // Either nothing was written or the outcome is unknown. The user's retry resolves it.
            responder_.respond_unavailable(request);
        }
    }
}

void SubmissionQueue::handle_created(const JobRequest& request, KeyRevision revision) {
    wire::JobStatus status{request.job, JobPhase::pending, 0, 0};
    if (request.submission.cancelled) {
        // The job is accepted nevertheless. The cancellation need not be published, because none of
        // its tasks can be running.
        status.phase = JobPhase::cancelled;
        cache_.set_terminal(request.job, status);
    } else {
        cache_.set_open(request.job, revision, request.submission.record.ancestors);
    }
    responder_.respond_created(request, status);
}

void SubmissionQueue::handle_conflict(JobRequest request, const FailedKeys& failed) {
    const bool known =
        failed.contains(kv::job_key(request.job)) || failed.contains(kv::terminal_key(request.job));
    if (known) {
        // A repeated submission gets the state of the existing job with its id.
        request.kind = RequestKind::poll;
        pipeline_.look_up(std::move(request), JobLookup::RecordKind::terminal_record);
        return;
    }
    auto terminal = terminal_ancestors(request, cache_, failed);
    pipeline_.resolve_ancestors(std::move(request), std::move(terminal));
}

}  // namespace dunebridge::api
