#include "api/job_service.hpp"

#include <algorithm>

#include "api/request_limits.hpp"
#include "kv/keys.hpp"

namespace dunebridge::api {

using kv::job_key;
using kv::terminal_key;
using kv::TransactionOutcome;
using sansio::RefusalReason;
using wire::JobPhase;
using wire::JobStatus;

namespace {
double reads_of_one_node(const config::Config& config) {
    const auto nodes = static_cast<double>(config.peers.size() + 1);
    return kReadShareOfAllNodes * config.kv_limits.rps() / nodes;
}
}  // namespace

JobService::JobService(sansio::Context& port, kv::KvClient& store, const config::Config& config,
                       const std::vector<wire::MachineType>& types, ProgressSource display,
                       BroadcastCancellation broadcast_cancellation)
    : context_(port),
      kv_client_(store),
      config_(config),
      types_(types),
      progress_source_(std::move(display)),
      broadcast_cancellation_(std::move(broadcast_cancellation)),
      writes_(kWriteShare * config.kv_limits.write_rps()),
      reads_(reads_of_one_node(config)),
      lookup_(port, store, cache_),
      check_(port, store, config, reads_,
             [this](const JobId& job, AncestorCheck::Outcome outcome,
                    const std::vector<JobId>& ended) { ancestors_checked(job, outcome, ended); }),
      records_(config),
      lookup_records_(port, store, cache_,
                      [this](std::vector<JobRequest> waiting, const JobLookupResult& result) {
                          looked_up(std::move(waiting), result);
                      }) {}

JobRequest JobService::new_request(RequestId request, const JobId& job, RequestKind kind) const {
    JobRequest pending;
    pending.id = request;
    pending.job = job;
    pending.kind = kind;
    pending.received_at = context_.now();
    return pending;
}

void JobService::poll(RequestId request, const JobId& job) {
    enqueue(new_request(request, job, RequestKind::poll));
}

void JobService::cancel(RequestId request, const JobId& job) {
    auto pending = new_request(request, job, RequestKind::cancellation);
    if (!answer_if_ended(pending)) {
        lookup_records_.start(std::move(pending), JobLookup::FirstRead::terminal_record);
    }
}

// ---- answers ----

void JobService::answer_end(const JobRequest& pending, const JobStatus& end) {
    context_.respond(pending.id, 200, wire::encode(end));
}

// No answer shows a cancellation that this node's log does not hold yet.
void JobService::end_found(JobRequest pending, const JobStatus& end) {
    if (end.phase == JobPhase::done) {
        cache_.set_terminal(pending.job, end);
        answer_end(pending, end);
        return;
    }
    broadcast_cancellation_(end.id, [this, pending = std::move(pending), end] {
        cache_.set_terminal(pending.job, end);
        answer_end(pending, end);
    });
}

void JobService::answer_open(const JobRequest& pending) {
    const auto progress = progress_source_(pending.job);
    const auto phase = progress.running > 0 ? JobPhase::running : JobPhase::pending;
    const JobStatus status{pending.job, phase, progress.done, progress.running};
    context_.respond(pending.id, 200, wire::encode(status));
}

void JobService::answer_unavailable(const JobRequest& pending) {
    const auto spread = std::chrono::seconds(context_.random() % kRetrySpread_s);
    context_.refuse(pending.id, RefusalReason::try_again, spread);
}

bool JobService::answer_if_ended(const JobRequest& pending) {
    const auto* known = cache_.find(pending.job);
    if (!known || !known->terminal) return false;
    answer_end(pending, *known->terminal);
    return true;
}

// ---- queues ----

void JobService::enqueue(JobRequest pending) {
    if (answer_if_ended(pending)) return;
    auto& queue = pending.kind == RequestKind::submission ? to_create_ : to_confirm_;
    // Nobody is kept waiting for a service that does not answer, nor in a queue that only grows.
    if (++pending.attempts > kMaxAttempts || queue.size() >= kMaxQueued ||
        kv_client_.time_since_response() > kStoreSilentAfter ||
        context_.now() - pending.received_at > kMaxRequestAge) {
        answer_unavailable(pending);
        return;
    }
    if (!check_ancestors_first(pending)) queue.push_back(std::move(pending));
}

void JobService::tick() {
    send_reads();
    create_jobs();
    drop_late();
}

// Confirmations and lookups in turn, so that neither keeps the whole budget: users who ask in
// masses must not crowd out the leader's reads and writes, nor one another.
void JobService::send_reads() {
    for (;;) {
        const bool may_confirm = !to_confirm_.empty() && confirming_ < kMaxReadTransactions;
        const bool may_look_up = lookup_records_.has_unsent();
        if (!may_confirm && !may_look_up) return;
        if (!reads_.take(1, context_.now())) {
            context_.request_wake(reads_.ready_at(1, context_.now()));
            return;
        }
        const bool look_up = may_look_up && (look_up_next_ || !may_confirm);
        look_up_next_ = !look_up;
        look_up ? lookup_records_.send_next() : confirm();
    }
}

// Those that have waited too long, for the budgets or for a check, are answered 503.
void JobService::drop_late() {
    const auto late = [this](const JobRequest& pending) {
        if (context_.now() - pending.received_at <= kMaxRequestAge) return false;
        answer_unavailable(pending);
        return true;
    };
    for (auto* queue : {&to_confirm_, &to_create_}) {
        while (!queue->empty() && late(queue->front())) queue->pop_front();
    }
    lookup_records_.drop_if(late);
    for (auto& [job, waiting] : awaiting_check_) std::erase_if(waiting, late);
    std::erase_if(awaiting_check_, [](const auto& entry) { return entry.second.empty(); });
}

// ---- cancellations ----

void JobService::commit_cancellation(JobRequest pending) {
    const auto* known = cache_.find(pending.job);
    const std::vector<wire::Precondition> preconditions{
        {job_key(pending.job), known ? known->record : KeyRevision()},
        {terminal_key(pending.job), KeyRevision()}};
    const std::vector<wire::Write> writes{
        {terminal_key(pending.job), cancellation_record(context_.wall_ms()), std::nullopt}};
    kv_client_.compare_and_swap(
        preconditions, writes, kWriteTimeout,
        [this, pending = std::move(pending)](const kv::TransactionResult& result) mutable {
            if (result.outcome == TransactionOutcome::ok) {
                const JobStatus end{pending.job, JobPhase::cancelled, 0, 0};
                end_found(std::move(pending), end);
            } else if (result.outcome == TransactionOutcome::conflict &&
                       ++pending.attempts <= kMaxAttempts) {
                lookup_records_.start(std::move(pending), JobLookup::FirstRead::terminal_record);
            } else {
                answer_unavailable(pending);
            }
        });
}

}  // namespace dunebridge::api
