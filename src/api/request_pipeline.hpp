/// \file
/// The steps by which the parts of the users' interface hand requests to one another.
#pragma once

#include <vector>

#include "api/job_lookup.hpp"
#include "api/job_request.hpp"

namespace dunebridge::api {

/// Implemented by JobService, which owns all parts. Each step takes over the request and sees to it
/// that it is responded to.
class RequestPipeline {
  public:
    RequestPipeline() = default;
    RequestPipeline(const RequestPipeline&) = delete;
    RequestPipeline& operator=(const RequestPipeline&) = delete;
    RequestPipeline(RequestPipeline&&) = delete;
    RequestPipeline& operator=(RequestPipeline&&) = delete;

    /// Queues the request for the transaction that creates its job or confirms its response.
    /// Responds at once if the job is known to be terminal, or the request can't be served in time.
    virtual void enqueue(JobRequest request) = 0;
    /// As enqueue(), for a read that has been admitted before and whose ancestors have been
    /// checked.
    virtual void enqueue_checked_read(JobRequest request) = 0;
    /// Reads the records of the request's job.
    virtual void look_up(JobRequest request, JobLookup::RecordKind first_record) = 0;
    /// Finds out how these ancestors of the request's job have ended, and what that makes of it.
    virtual void resolve_ancestors(JobRequest request, std::vector<JobId> terminal) = 0;
    /// Makes the records of a submission whose dependencies are known, and queues it.
    virtual void prepare_submission(JobRequest request) = 0;
    /// Creates the terminal record that cancels the request's job.
    virtual void commit_cancellation(JobRequest request) = 0;

  protected:
    ~RequestPipeline() = default;
};

}  // namespace dunebridge::api
