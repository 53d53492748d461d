#include "api/submission_service.hpp"

#include <algorithm>
#include <utility>

#include "api/request_limits.hpp"
#include "config/record_format.hpp"
#include "kv/keys.hpp"

namespace dunebridge::api {

using sansio::RefusalReason;

SubmissionService::SubmissionService(sansio::Context& context, kv::KvClient& kv_client,
                                     const config::Config& config,
                                     const std::vector<wire::MachineType>& types, JobCache& cache,
                                     JobResponder& responder, RequestPipeline& pipeline)
    : context_(context),
      kv_client_(kv_client),
      config_(config),
      types_(types),
      responder_(responder),
      pipeline_(pipeline),
      dependency_lookup_(context, kv_client, cache),
      record_builder_(config) {}

void SubmissionService::submit(RequestId id, const std::string& body) {
    const auto document = wire::Document::parse(body);
    const auto job = document ? wire::peek_job_id(document->root()) : std::nullopt;
    if (!job) {
        context_.refuse(id, RefusalReason::malformed);
        return;
    }
    JobRequest request{
        .id = id, .job = *job, .kind = RequestKind::submission, .received_at = context_.now()};
    if (responder_.respond_if_terminal(request)) return;
    try {
        request.submission.record.spec = wire::decode_job(document->root());
    } catch (const wire::DecodeError& e) {
        reject(std::move(request), {RefusalReason::malformed, e.what()});
        return;
    }
    submit_valid(std::move(request));
}

void SubmissionService::submit_valid(JobRequest request) {
    // Until the machine types are known, it cannot be decided whether the job fits any.
    if (types_.empty()) {
        responder_.respond_unavailable(request);
        return;
    }
    const auto& spec = request.submission.record.spec;
    if (auto refusal = check_runnable(spec, config_, types_)) {
        reject(std::move(request), *std::move(refusal));
    } else if (spec.dependencies.empty()) {
        prepare(std::move(request));
    } else {
        submit_dependent(std::move(request));
    }
}

void SubmissionService::reject(JobRequest request, sansio::Refusal refusal) {
    request.kind = RequestKind::rejected_submission;
    request.refusal = std::move(refusal);
    pipeline_.enqueue(std::move(request));
}

// ---- dependencies ----

// A leader of a version without support for dependencies would start the job's tasks too early.
// Until no such version can become leader, the user is told to retry.
void SubmissionService::submit_dependent(JobRequest request) {
    if (record_format_ >= config::kNewestFormat) {
        look_up_dependencies(std::move(request));
    } else {
        read_record_format(std::move(request));
    }
}

void SubmissionService::read_record_format(JobRequest request) {
    kv_client_.get(kv::kFormatMarkerKey, kReadTimeout,
                   [this, request = std::move(request)](const kv::GetResult& result) mutable {
                       if (result.available && result.entry) {
                           record_format_ =
                               result.entry->value["v"].count().value_or(record_format_);
                       }
                       if (record_format_ >= config::kRangeFormat) {
                           look_up_dependencies(std::move(request));
                       } else {
                           responder_.respond_unavailable(request);
                       }
                   });
}

void SubmissionService::look_up_dependencies(JobRequest request) {
    const auto dependencies =
        request.submission.record.spec.dependencies;  // `request` is moved from
    if (std::find(dependencies.begin(), dependencies.end(), request.job) != dependencies.end()) {
        reject(std::move(request),
               {RefusalReason::never_runnable, "waits_on contains the job itself"});
        return;
    }
    const auto deadline = request.received_at + kDependencyLookupTimeout;
    dependency_lookup_.start(
        dependencies, deadline,
        [this, request = std::move(request)](const DependencyResult& found) mutable {
            handle_dependencies(std::move(request), found);
        });
}

void SubmissionService::handle_dependencies(JobRequest request, const DependencyResult& found) {
    switch (found.outcome) {
        case DependencyResult::Outcome::unavailable:
            responder_.respond_unavailable(request);
            break;
        case DependencyResult::Outcome::never_accepted:
            reject(std::move(request),
                   {RefusalReason::never_runnable, "waits_on contains an unknown job"});
            break;
        case DependencyResult::Outcome::found:
            request.submission.record.ancestors = found.ancestors;
            request.submission.cancelled = found.any_cancelled;
            prepare(std::move(request));
            break;
    }
}

// ---- records ----

void SubmissionService::prepare(JobRequest request) {
    switch (record_builder_.prepare(request.submission, record_format_, context_.wall_ms())) {
        case PrepareResult::ready:
            pipeline_.enqueue(std::move(request));
            break;
        case PrepareResult::too_large:
            reject(std::move(request),
                   {RefusalReason::never_runnable, "the job exceeds the maximum size of a record"});
            break;
        case PrepareResult::too_many_dependencies:
            reject(std::move(request),
                   {RefusalReason::never_runnable, "waits_on contains too many jobs"});
            break;
        case PrepareResult::format_not_adopted:
            responder_.respond_unavailable(request);
            break;
    }
}

}  // namespace dunebridge::api
