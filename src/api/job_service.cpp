#include "api/job_service.hpp"

#include <utility>

#include "api/request_limits.hpp"

namespace dunebridge::api {

namespace {

double reads_per_second(const config::Config& config) {
    const auto nodes = static_cast<double>(config.peers.size() + 1);
    return kReadShareOfAllNodes * config.kv_limits.rps() / nodes;
}

}  // namespace

JobService::JobService(sansio::Context& context, kv::KvClient& kv_client,
                       const config::Config& config, const std::vector<wire::MachineType>& types,
                       GetProgress get_progress, PublishCancellation publish_cancellation)
    : context_(context),
      kv_client_(kv_client),
      read_budget_(reads_per_second(config)),
      cache_(config.job_cache),
      responder_(context, cache_, std::move(get_progress), std::move(publish_cancellation)),
      submissions_(context, kv_client, config, types, cache_, responder_, *this),
      submission_queue_(context, kv_client, config, cache_, responder_, *this),
      lookup_(context, kv_client, cache_,
              [this](std::vector<JobRequest> requests, const JobLookupResult& result) {
                  handle_lookup_finished(std::move(requests), result);
              }),
      read_queue_(kv_client, cache_, responder_, *this),
      ancestor_checks_(context, kv_client, config, read_budget_, cache_, responder_, *this),
      ancestor_resolver_(kv_client, cache_, responder_, *this),
      cancellations_(context, kv_client, cache_, responder_, *this) {}

void JobService::submit(RequestId request, const std::string& body) {
    submissions_.submit(request, body);
}

void JobService::poll(RequestId request, const JobId& job) {
    enqueue({.id = request, .job = job, .kind = RequestKind::poll, .received_at = context_.now()});
}

void JobService::cancel(RequestId request, const JobId& job) {
    cancellations_.cancel({.id = request,
                           .job = job,
                           .kind = RequestKind::cancellation,
                           .received_at = context_.now()});
}

void JobService::tick() {
    send_reads();
    submission_queue_.send();
    refuse_overdue();
}

// ---- the steps of a request ----

void JobService::enqueue(JobRequest request) {
    if (responder_.respond_if_terminal(request)) return;
    const bool creates = request.kind == RequestKind::submission;
    ++request.attempts;
    if (!may_enqueue(request, creates ? submission_queue_.size() : read_queue_.size())) {
        responder_.respond_unavailable(request);
    } else if (creates) {
        submission_queue_.push(std::move(request));
    } else if (ancestor_checks_.needs_check(request)) {
        ancestor_checks_.push(std::move(request));
    } else {
        read_queue_.push(std::move(request));
    }
}

// Requests are refused at once if the key-value store does not respond or the queue is full, so
// that users do not wait in vain and the queues stay bounded.
bool JobService::may_enqueue(const JobRequest& request, std::size_t queued) const {
    return request.attempts <= kMaxAttempts && queued < kMaxQueuedRequests &&
           kv_client_.time_since_response() <= kStoreUnresponsiveAfter && !is_overdue(request);
}

bool JobService::is_overdue(const JobRequest& request) const {
    return context_.now() - request.received_at > kMaxRequestAge;
}

void JobService::enqueue_checked_read(JobRequest request) { read_queue_.push(std::move(request)); }

void JobService::look_up(JobRequest request, JobLookup::RecordKind first_record) {
    lookup_.start(std::move(request), first_record);
}

void JobService::resolve_ancestors(JobRequest request, std::vector<JobId> terminal) {
    ancestor_resolver_.resolve(std::move(request), std::move(terminal));
}

void JobService::prepare_submission(JobRequest request) {
    submissions_.prepare(std::move(request));
}

void JobService::commit_cancellation(JobRequest request) {
    cancellations_.commit(std::move(request));
}

void JobService::handle_lookup_finished(std::vector<JobRequest> requests,
                                        const JobLookupResult& result) {
    for (auto& request : requests) {
        switch (result.outcome) {
            case JobLookupResult::Outcome::unavailable:
                responder_.respond_unavailable(request);
                break;
            case JobLookupResult::Outcome::terminal:
                responder_.respond_terminal(std::move(request), result.terminal);
                break;
            case JobLookupResult::Outcome::has_record:
                if (request.kind == RequestKind::cancellation) {
                    commit_cancellation(std::move(request));
                } else {
                    enqueue(std::move(request));
                }
                break;
            case JobLookupResult::Outcome::no_record:
                enqueue(std::move(request));
                break;
        }
    }
}

// ---- sending reads and refusing overdue requests ----

// Confirmations and lookups alternate, so that neither uses up the whole budget. The budget keeps
// bursts of user requests from starving the leader's reads and writes, or one another.
void JobService::send_reads() {
    for (;;) {
        const bool may_confirm = read_queue_.may_send();
        const bool may_look_up = lookup_.has_unsent_read();
        if (!may_confirm && !may_look_up) return;
        if (!read_budget_.take(1, context_.now())) {
            context_.request_wake(read_budget_.ready_at(1, context_.now()));
            return;
        }
        const bool look_up_now = may_look_up && (look_up_next_ || !may_confirm);
        look_up_next_ = !look_up_now;
        if (look_up_now) {
            lookup_.send_next();
        } else {
            read_queue_.send();
        }
    }
}

// Covers requests that wait for a rate budget, a lookup or an ancestor check.
void JobService::refuse_overdue() {
    const auto refuse_if_overdue = [this](const JobRequest& request) {
        if (!is_overdue(request)) return false;
        responder_.respond_unavailable(request);
        return true;
    };
    read_queue_.drop_front_while(refuse_if_overdue);
    submission_queue_.drop_front_while(refuse_if_overdue);
    lookup_.drop_if(refuse_if_overdue);
    ancestor_checks_.drop_if(refuse_if_overdue);
}

}  // namespace dunebridge::api
