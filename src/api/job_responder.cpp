#include "api/job_responder.hpp"

#include <chrono>
#include <utility>

#include "api/request_limits.hpp"

namespace dunebridge::api {

using sansio::RefusalReason;
using wire::JobPhase;
using wire::JobStatus;

namespace {
constexpr int kHttpCreated = 201;
}  // namespace

JobResponder::JobResponder(sansio::Context& context, JobCache& cache, GetProgress get_progress,
                           PublishCancellation publish_cancellation)
    : context_(context),
      cache_(cache),
      get_progress_(std::move(get_progress)),
      publish_cancellation_(std::move(publish_cancellation)) {}

bool JobResponder::respond_if_terminal(const JobRequest& request) {
    const auto* known = cache_.find(request.job);
    if (!known || !known->terminal) return false;
    context_.respond(request.id, sansio::kHttpOk, wire::encode(*known->terminal));
    return true;
}

void JobResponder::respond_terminal(JobRequest request, const JobStatus& terminal) {
    auto respond = [this, request = std::move(request), terminal] {
        cache_.set_terminal(request.job, terminal);
        context_.respond(request.id, sansio::kHttpOk, wire::encode(terminal));
    };
    if (terminal.phase == JobPhase::done) {
        respond();
    } else {
        publish_cancellation_(terminal.id, std::move(respond));
    }
}

void JobResponder::respond_created(const JobRequest& request, const JobStatus& status) {
    context_.respond(request.id, kHttpCreated, wire::encode(status));
}

void JobResponder::respond_unknown(const JobRequest& request) {
    context_.log(sansio::LogLevel::debug, "event=job_unknown job={} cached={}", request.job.get(),
                 cache_.find(request.job) != nullptr);
    if (request.kind == RequestKind::rejected_submission) {
        context_.refuse(request.id, *request.refusal);
    } else {
        context_.refuse(request.id, RefusalReason::no_such_job);
    }
}

void JobResponder::respond_open(const JobRequest& request) {
    const auto progress = get_progress_(request.job);
    const auto phase = progress.running > 0 ? JobPhase::running : JobPhase::pending;
    const JobStatus status{request.job, phase, progress.done, progress.running};
    context_.respond(request.id, sansio::kHttpOk, wire::encode(status));
}

void JobResponder::respond_unavailable(const JobRequest& request) {
    const std::chrono::seconds jitter(context_.random() % kRetryJitter_s);
    context_.refuse(request.id, RefusalReason::temporarily_unavailable, jitter);
}

}  // namespace dunebridge::api
