/// \file
/// The user API: submission, polling and cancellation of jobs, at any node.
#pragma once

#include <string>
#include <vector>

#include "api/ancestor_check_queue.hpp"
#include "api/ancestor_resolver.hpp"
#include "api/cancellation_service.hpp"
#include "api/job_cache.hpp"
#include "api/job_lookup.hpp"
#include "api/job_request.hpp"
#include "api/job_responder.hpp"
#include "api/linearizable_read_queue.hpp"
#include "api/request_pipeline.hpp"
#include "api/submission_queue.hpp"
#include "api/submission_service.hpp"
#include "base/token_bucket.hpp"
#include "config/config.hpp"
#include "kv/client.hpp"
#include "sansio/context.hpp"
#include "wire/messages.hpp"

namespace dunebridge::api {

/// Owns the components of the user API and routes requests between them:
///
/// - SubmissionService and SubmissionQueue accept a job by creating its job record, on condition
///   that neither a job record nor a terminal record exists.
/// - CancellationService cancels a job by creating its terminal record, on condition that none
///   exists.
/// - LinearizableReadQueue confirms that a job is open, or unknown, before a response says so. One
///   transaction without writes confirms many responses.
/// - AncestorCheckQueue and AncestorResolver ensure that no response reports a job with a cancelled
///   ancestor as open.
///
/// If the key-value store does not respond, users are told immediately to retry.
class JobService final : private RequestPipeline {
  public:
    /// `types` are the machine types that the cloud offers; empty until they are known. All
    /// references must remain valid for the lifetime of the service.
    JobService(sansio::Context& context, kv::KvClient& kv_client, const config::Config& config,
               const std::vector<wire::MachineType>& types, GetProgress get_progress,
               PublishCancellation publish_cancellation);

    // Each function responds to the request exactly once, during the call or later.

    void submit(RequestId request, const std::string& body);
    void poll(RequestId request, const JobId& job);
    void cancel(RequestId request, const JobId& job);

    /// Sends queued requests as far as the rate budgets allow, and refuses requests that have
    /// waited too long. Must be called in every step of the controller.
    void tick();

  private:
    void enqueue(JobRequest request) override;
    void enqueue_checked_read(JobRequest request) override;
    void look_up(JobRequest request, JobLookup::RecordKind first_record) override;
    void resolve_ancestors(JobRequest request, std::vector<JobId> terminal) override;
    void prepare_submission(JobRequest request) override;
    void commit_cancellation(JobRequest request) override;

    /// Returns whether the request can still be served in time; `queued` is the length of its
    /// queue.
    bool may_enqueue(const JobRequest& request, std::size_t queued) const;
    bool is_overdue(const JobRequest& request) const;
    void send_reads();
    void refuse_overdue();
    void handle_lookup_finished(std::vector<JobRequest> requests, const JobLookupResult& result);

    sansio::Context& context_;
    kv::KvClient& kv_client_;
    TokenBucket read_budget_;
    JobCache cache_;
    JobResponder responder_;
    SubmissionService submissions_;
    SubmissionQueue submission_queue_;
    JobLookup lookup_;
    LinearizableReadQueue read_queue_;
    AncestorCheckQueue ancestor_checks_;
    AncestorResolver ancestor_resolver_;
    CancellationService cancellations_;
    bool look_up_next_ = false;  ///< Whether the next read is a lookup, if there is one.
};

}  // namespace dunebridge::api
