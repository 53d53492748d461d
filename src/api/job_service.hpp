// The users' interface: submissions, polls and cancellations, at any node.
//
// A job is accepted by creating job/<id> while neither it nor end/<id> exists; it ends by creating
// end/<id>, once. An answer that says a job is open, or unknown, is confirmed by a transaction
// that only compares, many polls in one; without it the answer is 503 at once. For a job that
// depends on others it is also made sure that none of them has ended: one that is cancelled ends
// it. Where there are too many for one transaction, that is found out before (AncestorCheck).
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "api/ancestor_check.hpp"
#include "api/dependency_lookup.hpp"
#include "api/job_cache.hpp"
#include "api/job_lookup.hpp"
#include "api/job_request.hpp"
#include "api/submission_records.hpp"
#include "base/token_bucket.hpp"
#include "config/config.hpp"
#include "coordination/peer_monitor.hpp"
#include "kv/client.hpp"
#include "sansio/context.hpp"
#include "wire/messages.hpp"

namespace dunebridge::api {

class JobService {
  public:
    // How far an open job is by the leader's own ledger or its heartbeats, for display.
    using ProgressSource = std::function<coordination::JobProgress(const JobId&)>;
    // Hands a committed cancellation to whoever must know it before its user is answered, and goes
    // on.
    using BroadcastCancellation = std::function<void(const JobId&, std::function<void()> then)>;

    JobService(sansio::Context& port, kv::KvClient& store, const config::Config& config,
               const std::vector<wire::MachineType>& types, ProgressSource display,
               BroadcastCancellation broadcast_cancellation);

    void submit(RequestId request, const std::string& body);
    void poll(RequestId request, const JobId& job);
    void cancel(RequestId request, const JobId& job);
    // Sends what is queued as far as the budgets allow, and answers what has waited too long.
    void tick();

  private:
    JobRequest new_request(RequestId request, const JobId& job, RequestKind kind) const;

    // Submissions.
    bool decode_submission(JobRequest& pending, wire::Value body);
    void refuse(JobRequest pending, sansio::Refusal refusal);
    void submit_dependent(JobRequest pending);
    void look_up_dependencies(JobRequest pending);
    void prepare(JobRequest pending);
    void create_jobs();
    void jobs_created(std::vector<JobRequest> batch, const kv::TransactionResult& result);
    void answer_created(const JobRequest& pending, KeyRevision rev);
    bool fits_transaction(const JobRequest& pending, std::size_t preconditions, std::size_t writes,
                          std::size_t bytes) const;

    // Answers.
    void answer_end(const JobRequest& pending, const wire::JobStatus& end);
    void answer_open(const JobRequest& pending);
    void answer_unavailable(const JobRequest& pending);
    bool answer_if_ended(const JobRequest& pending);
    void end_found(JobRequest pending, const wire::JobStatus& end);

    // Confirmations.
    void send_reads();
    void enqueue(JobRequest pending);
    bool check_ancestors_first(JobRequest& pending);
    void ancestors_checked(const JobId& job, AncestorCheck::Outcome outcome,
                           const std::vector<JobId>& ended);
    void confirm();
    void confirmed(std::vector<JobRequest> batch, const kv::TransactionResult& result);
    void answer_confirmed(const JobRequest& pending);
    void looked_up(std::vector<JobRequest> waiting, const JobLookupResult& result);
    void job_known(JobRequest pending);
    void drop_late();

    // Ancestors, as far as they are guarded in the transaction itself.
    const std::vector<JobId>& required_ancestors(const JobRequest& pending) const;
    void require_no_ends(const JobRequest& pending, std::set<JobId>& required,
                         std::vector<wire::Precondition>& preconditions) const;
    std::size_t preconditions_for(const JobRequest& pending) const;
    std::vector<JobId> ended_ancestors(const JobRequest& pending,
                                       const std::set<std::string>& failed) const;
    void settle_ancestors(JobRequest pending, const std::vector<JobId>& ended);
    void ancestor_done(JobRequest& pending, const JobId& ancestor);

    // Cancellations.
    void commit_cancellation(JobRequest pending);

    sansio::Context& context_;
    kv::KvClient& kv_client_;
    const config::Config& config_;
    const std::vector<wire::MachineType>& types_;
    ProgressSource progress_source_;
    BroadcastCancellation broadcast_cancellation_;
    TokenBucket writes_;
    TokenBucket reads_;
    JobCache cache_;
    DependencyLookup lookup_;
    AncestorCheck check_;
    SubmissionRecords records_;
    JobLookup lookup_records_;

    std::deque<JobRequest> to_confirm_;
    std::deque<JobRequest> to_create_;
    std::map<JobId, std::vector<JobRequest>> awaiting_check_;
    int confirming_ = 0;
    bool look_up_next_ = false;
    int creating_ = 0;
    std::uint64_t format_ = 0;  // of the ledger, as far as this node has read; 0: the oldest
};

}  // namespace dunebridge::api
