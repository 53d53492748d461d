// The part of the users' interface that confirms what it answers: that a job is open or unknown, by
// a transaction that only compares, and otherwise by reading its records.
#include "api/job_service.hpp"
#include "api/request_limits.hpp"
#include "kv/keys.hpp"

namespace dunebridge::api {

using kv::job_key;
using kv::terminal_key;
using kv::TransactionOutcome;
using sansio::RefusalReason;

// Returns whether the request now waits for a check of its job's ancestors.
bool JobService::check_ancestors_first(JobRequest& pending) {
    if (pending.kind == RequestKind::submission || pending.ancestors_checked) return false;
    const auto& ancestors = cache_.ancestors(pending.job);
    if (ancestors.size() + 2 <= kv_client_.max_preconditions()) return false;
    if (check_.is_fresh(pending.job)) {
        pending.ancestors_checked = true;
        return false;
    }
    const auto job = pending.job;
    awaiting_check_[job].push_back(std::move(pending));
    check_.start(job, ancestors);
    return true;
}

void JobService::ancestors_checked(const JobId& job, AncestorCheck::Outcome outcome,
                                   const std::vector<JobId>& ended) {
    const auto it = awaiting_check_.find(job);
    if (it == awaiting_check_.end()) return;
    auto waiting = std::move(it->second);
    awaiting_check_.erase(it);
    for (auto& pending : waiting) {
        if (outcome == AncestorCheck::Outcome::unavailable) {
            answer_unavailable(pending);
        } else if (outcome == AncestorCheck::Outcome::some_terminal) {
            settle_ancestors(std::move(pending), ended);
        } else {
            pending.ancestors_checked = true;
            to_confirm_.push_back(std::move(pending));
        }
    }
}

void JobService::confirm() {
    std::vector<wire::Precondition> preconditions;
    std::vector<JobRequest> batch;
    std::set<JobId> asked;
    std::set<JobId> required;  // whose ends are
    while (!to_confirm_.empty() && preconditions.size() + preconditions_for(to_confirm_.front()) <=
                                       kv_client_.max_preconditions()) {
        auto pending = std::move(to_confirm_.front());
        to_confirm_.pop_front();
        if (asked.insert(pending.job).second) {
            const auto* known = cache_.find(pending.job);
            preconditions.push_back({job_key(pending.job), known ? known->record : KeyRevision()});
            require_no_ends(pending, required, preconditions);
        }
        batch.push_back(std::move(pending));
    }
    ++confirming_;
    kv_client_.compare_and_swap(
        preconditions, {}, kReadTimeout,
        [this, batch = std::move(batch)](const kv::TransactionResult& result) mutable {
            --confirming_;
            confirmed(std::move(batch), result);
        });
}

void JobService::answer_confirmed(const JobRequest& pending) {
    const auto* known = cache_.find(pending.job);
    if (known && known->record != KeyRevision()) {
        answer_open(pending);
    } else if (pending.kind == RequestKind::rejected_submission) {
        context_.refuse(pending.id, *pending.refusal);
    } else {
        context_.refuse(pending.id, RefusalReason::no_such_job);
    }
}

void JobService::confirmed(std::vector<JobRequest> batch, const kv::TransactionResult& result) {
    if (result.outcome == TransactionOutcome::ok) {
        for (const auto& pending : batch) answer_confirmed(pending);
        return;
    }
    if (result.outcome != TransactionOutcome::conflict) {
        for (const auto& pending : batch) answer_unavailable(pending);
        return;
    }
    // Only the keys named as failed are known to differ; the rest is asked again.
    const std::set<std::string> failed(result.failed.begin(), result.failed.end());
    for (auto& pending : batch) {
        if (failed.contains(terminal_key(pending.job))) {
            lookup_records_.start(std::move(pending), JobLookup::FirstRead::terminal_record);
        } else if (failed.contains(job_key(pending.job))) {
            lookup_records_.start(std::move(pending), JobLookup::FirstRead::job_record);
        } else {
            const auto ended = ended_ancestors(pending, failed);
            settle_ancestors(std::move(pending), ended);
        }
    }
}

// What the reads of a job's records have found, for all that asked about it.
void JobService::looked_up(std::vector<JobRequest> waiting, const JobLookupResult& result) {
    for (auto& pending : waiting) {
        switch (result.outcome) {
            case JobLookupResult::Outcome::unavailable:
                answer_unavailable(pending);
                break;
            case JobLookupResult::Outcome::terminal:
                end_found(std::move(pending), result.terminal);
                break;
            case JobLookupResult::Outcome::has_record:
                job_known(std::move(pending));
                break;
            case JobLookupResult::Outcome::no_record:
                enqueue(std::move(pending));
                break;
        }
    }
}

void JobService::job_known(JobRequest pending) {
    pending.kind == RequestKind::cancellation ? commit_cancellation(std::move(pending))
                                              : enqueue(std::move(pending));
}

// ---- ancestors ----

const std::vector<JobId>& JobService::required_ancestors(const JobRequest& pending) const {
    static const std::vector<JobId> none;
    if (pending.ancestors_checked) return none;
    if (pending.kind != RequestKind::submission) return cache_.ancestors(pending.job);
    const auto& submission = pending.submission;
    // A job with parts is looked after by polls and by the leader.
    const bool apart = submission.cancelled || submission.writes.size() > 1;
    return apart ? none : submission.record.ancestors;
}

// The job's own end, and those of what must be done before it, are not there.
void JobService::require_no_ends(const JobRequest& pending, std::set<JobId>& required,
                                 std::vector<wire::Precondition>& preconditions) const {
    if (required.insert(pending.job).second)
        preconditions.push_back({terminal_key(pending.job), KeyRevision()});
    for (const auto& id : required_ancestors(pending)) {
        if (required.insert(id).second) preconditions.push_back({terminal_key(id), KeyRevision()});
    }
}

std::size_t JobService::preconditions_for(const JobRequest& pending) const {
    return 2 + required_ancestors(pending).size();
}

std::vector<JobId> JobService::ended_ancestors(const JobRequest& pending,
                                               const std::set<std::string>& failed) const {
    std::vector<JobId> out;
    for (const auto& id : required_ancestors(pending)) {
        if (failed.contains(terminal_key(id))) out.push_back(id);
    }
    return out;
}

void JobService::ancestor_done(JobRequest& pending, const JobId& ancestor) {
    std::erase(pending.submission.record.ancestors, ancestor);
    cache_.remove_ancestor(pending.job, ancestor);
}

// Of what must be done before the job, those have ended: with one that is cancelled it ends too.
void JobService::settle_ancestors(JobRequest pending, const std::vector<JobId>& ended) {
    std::vector<std::string> ids;
    ids.reserve(ended.size());
    for (const auto& id : ended) ids.push_back(id.get());
    const auto then = [this, ended,
                       pending = std::move(pending)](const kv::MultiGetResult& rows) mutable {
        bool any_cancelled = false;
        for (const auto& id : ended) {
            const auto row = rows.entries.find(terminal_key(id));
            if (!rows.available || row == rows.entries.end()) {
                answer_unavailable(pending);
                return;
            }
            const bool done = kv::decode_terminal_record(row->second.value).done();
            any_cancelled = any_cancelled || !done;
            if (done) ancestor_done(pending, id);
        }
        if (pending.kind == RequestKind::submission) {
            pending.submission.cancelled = pending.submission.cancelled || any_cancelled;
            prepare(std::move(pending));
        } else if (any_cancelled) {
            commit_cancellation(std::move(pending));
        } else {
            enqueue(std::move(pending));
        }
    };
    kv_client_.get_each(kv::kTerminalPrefix, std::move(ids), kReadTimeout, then);
}

}  // namespace dunebridge::api
