#include "api/cancellation_service.hpp"

#include <utility>
#include <vector>

#include "api/request_limits.hpp"
#include "api/submission_records.hpp"
#include "kv/keys.hpp"

namespace dunebridge::api {

CancellationService::CancellationService(sansio::Context& context, kv::KvClient& kv_client,
                                         const JobCache& cache, JobResponder& responder,
                                         RequestPipeline& pipeline)
    : context_(context),
      kv_client_(kv_client),
      cache_(cache),
      responder_(responder),
      pipeline_(pipeline) {}

void CancellationService::cancel(JobRequest request) {
    if (responder_.respond_if_terminal(request)) return;
    pipeline_.look_up(std::move(request), JobLookup::RecordKind::terminal_record);
}

void CancellationService::commit(JobRequest request) {
    const auto terminal_key = kv::terminal_key(request.job);
    const std::vector<wire::Precondition> preconditions{
        {kv::job_key(request.job), cache_.record(request.job)}, {terminal_key, KeyRevision()}};
    const std::vector<wire::Write> writes{
        {terminal_key, cancellation_record(context_.wall_ms()), std::nullopt}};
    kv_client_.compare_and_swap(
        preconditions, writes, kWriteTimeout,
        [this, request = std::move(request)](const kv::TransactionResult& result) mutable {
            handle_result(std::move(request), result);
        });
}

void CancellationService::handle_result(JobRequest request, const kv::TransactionResult& result) {
    if (result.outcome == kv::TransactionOutcome::ok) {
        const wire::JobStatus cancelled{request.job, wire::JobPhase::cancelled, 0, 0};
        responder_.respond_terminal(std::move(request), cancelled);
    } else if (result.outcome == kv::TransactionOutcome::conflict &&
               ++request.attempts <= kMaxAttempts) {
        pipeline_.look_up(std::move(request), JobLookup::RecordKind::terminal_record);
    } else {
        responder_.respond_unavailable(request);
    }
}

}  // namespace dunebridge::api
