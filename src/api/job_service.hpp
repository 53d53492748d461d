/// \file
/// The users' interface: submissions, polls and cancellations, at any node.
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

/// Owns the parts of the users' interface and routes requests between them:
///
/// - SubmissionService and SubmissionQueue accept a job by creating its job record, provided that
/// it
///   has neither a job record nor a terminal record.
/// - CancellationService ends a job by creating its terminal record, which happens once.
/// - LinearizableReadQueue confirms a response which says that a job is open, or unknown, by a
///   transaction that only compares, for many requests at once.
/// - AncestorCheckQueue and AncestorResolver see to it that no response calls a job open that has a
///   cancelled ancestor.
///
/// Where the key-value store does not answer, users are asked to try again at once.
class JobService final : private RequestPipeline {
  public:
    /// `types` are the machine types that the cloud offers; empty until they are known.
    JobService(sansio::Context& context, kv::KvClient& kv_client, const config::Config& config,
               const std::vector<wire::MachineType>& types, GetProgress get_progress,
               PublishCancellation publish_cancellation);

    // Each responds to the request once, within this call or later.

    void submit(RequestId request, const std::string& body);
    void poll(RequestId request, const JobId& job);
    void cancel(RequestId request, const JobId& job);

    /// Sends what is queued as far as the budgets allow, and refuses what has waited too long. To
    /// be called in each step.
    void tick();

  private:
    void enqueue(JobRequest request) override;
    void enqueue_checked_read(JobRequest request) override;
    void look_up(JobRequest request, JobLookup::RecordKind first_record) override;
    void resolve_ancestors(JobRequest request, std::vector<JobId> terminal) override;
    void prepare_submission(JobRequest request) override;
    void commit_cancellation(JobRequest request) override;

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
    bool look_up_next_ = false;  ///< Whether a lookup has its turn before a confirmation.
};

}  // namespace dunebridge::api
