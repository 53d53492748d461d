// The part of the users' interface that takes submissions.
#include <algorithm>

#include "api/job_service.hpp"
#include "api/request_limits.hpp"
#include "config/record_format.hpp"
#include "kv/keys.hpp"

namespace dunebridge::api {

using kv::job_key;
using kv::terminal_key;
using kv::TransactionOutcome;
using sansio::RefusalReason;
using wire::JobPhase;
using wire::JobStatus;

void JobService::submit(RequestId request, const std::string& body) {
    const auto document = wire::Document::parse(body);
    const auto id = document ? wire::peek_job_id(document->root()) : std::nullopt;
    if (!document || !id) {
        context_.refuse(request, RefusalReason::malformed);
        return;
    }
    auto pending = new_request(request, *id, RequestKind::submission);
    if (answer_if_ended(pending)) return;
    if (!decode_submission(pending, document->root())) {
        if (pending.refusal) {
            auto refusal = *pending.refusal;
            refuse(std::move(pending), std::move(refusal));
        } else {
            answer_unavailable(pending);
        }
    } else if (pending.submission.record.spec.waits_on.empty()) {
        prepare(std::move(pending));
    } else {
        submit_dependent(std::move(pending));
    }
}

// False if it is refused, or, without a refusal, cannot be decided yet.
bool JobService::decode_submission(JobRequest& pending, wire::Value body) {
    try {
        auto spec = wire::decode_job(body);
        if (types_.empty()) return false;
        pending.refusal = refuse_never_runnable(spec, config_, types_);
        pending.submission.record.spec = std::move(spec);
    } catch (const wire::DecodeError& e) {
        pending.refusal.emplace(RefusalReason::malformed, e.what());
    }
    return !pending.refusal;
}

// A known id is answered with its state, whatever the submission carries; else this is the answer.
void JobService::refuse(JobRequest pending, sansio::Refusal refusal) {
    pending.kind = RequestKind::rejected_submission;
    pending.refusal = std::move(refusal);
    enqueue(std::move(pending));
}

// ---- dependencies ----

// A version that does not know chains would start its tasks early: until none can lead any more,
// the submission is refused for the time being.
void JobService::submit_dependent(JobRequest pending) {
    if (format_ >= config::kNewestFormat) {
        look_up_dependencies(std::move(pending));
        return;
    }
    kv_client_.get(kv::kFormatMark, kReadTimeout,
                   [this, pending = std::move(pending)](const kv::GetResult& result) mutable {
                       if (result.available && result.entry) {
                           format_ = result.entry->value["v"].count().value_or(format_);
                       }
                       format_ >= config::kRangeFormat ? look_up_dependencies(std::move(pending))
                                                       : answer_unavailable(pending);
                   });
}

void JobService::look_up_dependencies(JobRequest pending) {
    const auto& dependencies = pending.submission.record.spec.waits_on;
    if (std::find(dependencies.begin(), dependencies.end(), pending.job) != dependencies.end()) {
        refuse(std::move(pending), {RefusalReason::never_runnable, "it waits on itself"});
        return;
    }
    const auto list = dependencies;  // `pending` is moved from
    const auto deadline = pending.received_at + kDependencyLookupTimeout;
    lookup_.start(list, deadline,
                  [this, pending = std::move(pending)](const DependencyResult& found) mutable {
                      if (found.outcome == DependencyResult::Outcome::unavailable) {
                          answer_unavailable(pending);
                      } else if (found.outcome == DependencyResult::Outcome::never_accepted) {
                          refuse(std::move(pending), {RefusalReason::never_runnable,
                                                      "it waits on a job that was never accepted"});
                      } else {
                          pending.submission.record.ancestors = found.ancestors;
                          pending.submission.cancelled = found.any_cancelled;
                          prepare(std::move(pending));
                      }
                  });
}

// ---- records ----

void JobService::prepare(JobRequest pending) {
    switch (records_.prepare(pending.submission, format_, context_.wall_ms())) {
        case Preparation::ready:
            enqueue(std::move(pending));
            break;
        case Preparation::too_large:
            refuse(std::move(pending),
                   {RefusalReason::never_runnable, "its description is larger than can be kept"});
            break;
        case Preparation::too_many_ancestors:
            refuse(std::move(pending),
                   {RefusalReason::never_runnable, "it waits on more jobs than can be kept"});
            break;
        case Preparation::format_not_in_force:
            answer_unavailable(pending);
            break;
    }
}

// ---- transactions ----

bool JobService::fits_transaction(const JobRequest& pending, std::size_t preconditions,
                                  std::size_t writes, std::size_t bytes) const {
    if (writes == 0) return true;  // whatever it takes, it was made to fit one alone
    return preconditions + preconditions_for(pending) <= kv_client_.max_preconditions() &&
           writes + pending.submission.writes.size() <= config_.kv_limits.txn_ops() &&
           bytes + pending.submission.bytes <= kMaxTransactionBytes;
}

void JobService::create_jobs() {
    while (!to_create_.empty() && creating_ < kMaxWriteTransactions) {
        std::size_t wanted = 0;
        for (const auto& pending : to_create_) wanted += pending.submission.writes.size();
        const auto changes = static_cast<double>(std::min(wanted, config_.kv_limits.txn_ops()));
        if (!writes_.take(changes, context_.now())) {
            context_.request_wake(writes_.ready_at(changes, context_.now()));
            return;
        }
        std::vector<wire::Precondition> preconditions;
        std::vector<wire::Write> writes;
        std::vector<JobRequest> batch;
        std::set<JobId> asked;
        std::set<JobId> required;  // whose ends are
        std::size_t bytes = 0;
        while (!to_create_.empty() &&
               fits_transaction(to_create_.front(), preconditions.size(), writes.size(), bytes)) {
            auto pending = std::move(to_create_.front());
            to_create_.pop_front();
            if (asked.insert(pending.job).second) {
                preconditions.push_back({job_key(pending.job), KeyRevision()});
                require_no_ends(pending, required, preconditions);
                bytes += pending.submission.bytes;
                const auto& own = pending.submission.writes;
                writes.insert(writes.end(), own.begin(), own.end());
            }
            batch.push_back(std::move(pending));
        }
        ++creating_;
        kv_client_.compare_and_swap(
            preconditions, writes, kWriteTimeout,
            [this, batch = std::move(batch)](const kv::TransactionResult& result) mutable {
                --creating_;
                jobs_created(std::move(batch), result);
            });
    }
}

void JobService::answer_created(const JobRequest& pending, KeyRevision rev) {
    JobStatus status{pending.job, JobPhase::pending, 0, 0};
    if (pending.submission.cancelled) {
        // Accepted all the same; nothing of it is anywhere.
        status.phase = JobPhase::cancelled;
        cache_.set_terminal(pending.job, status);
    } else {
        cache_.set_record(pending.job, rev);
        cache_.set_ancestors(pending.job, pending.submission.record.ancestors);
    }
    context_.respond(pending.id, 201, wire::encode(status));
}

void JobService::jobs_created(std::vector<JobRequest> batch, const kv::TransactionResult& result) {
    const std::set<std::string> failed(result.failed.begin(), result.failed.end());
    for (auto& pending : batch) {
        if (result.outcome == TransactionOutcome::ok) {
            answer_created(pending, result.rev);
        } else if (result.outcome == TransactionOutcome::refused && kv_client_.reachable()) {
            // The service is over its rate: certainly not written, and taken again as the budget
            // allows.
            enqueue(std::move(pending));
        } else if (result.outcome != TransactionOutcome::conflict) {
            // Not written, or not known: the user's repeat finds out.
            answer_unavailable(pending);
        } else if (failed.contains(job_key(pending.job)) ||
                   failed.contains(terminal_key(pending.job))) {
            pending.kind = RequestKind::poll;
            lookup_records_.start(std::move(pending), JobLookup::FirstRead::terminal_record);
        } else {
            const auto ended = ended_ancestors(pending, failed);
            settle_ancestors(std::move(pending), ended);
        }
    }
}

}  // namespace dunebridge::api
