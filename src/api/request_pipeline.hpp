/// \file
/// Interface through which the components of the user API pass requests to one another.
#pragma once

#include <vector>

#include "api/job_lookup.hpp"
#include "api/job_request.hpp"

namespace dunebridge::api {

/// The steps of processing a request, implemented by JobService, which owns all components. Each
/// step takes ownership of the request and ensures that it gets a response.
class RequestPipeline {
  public:
    RequestPipeline() = default;
    RequestPipeline(const RequestPipeline&) = delete;
    RequestPipeline& operator=(const RequestPipeline&) = delete;
    RequestPipeline(RequestPipeline&&) = delete;
    RequestPipeline& operator=(RequestPipeline&&) = delete;

    /// Queues the request for the transaction that creates its job or confirms its response.
    /// Responds immediately if the job is known to be terminal or the request cannot be served in
    /// time.
    virtual void enqueue(JobRequest request) = 0;
    /// Queues a read that enqueue() has already admitted and whose ancestors have been checked.
    virtual void enqueue_checked_read(JobRequest request) = 0;
    /// Reads the records of the request's job.
    virtual void look_up(JobRequest request, JobLookup::RecordKind first_record) = 0;
    /// Reads how these terminal ancestors of the request's job ended, and cancels the job or
    /// continues the request accordingly.
    virtual void resolve_ancestors(JobRequest request, std::vector<JobId> terminal) = 0;
    /// Builds the records of a submission whose dependencies are known, and queues it.
    virtual void prepare_submission(JobRequest request) = 0;
    /// Creates the terminal record that cancels the request's job.
    virtual void commit_cancellation(JobRequest request) = 0;

  protected:
    ~RequestPipeline() = default;
};

}  // namespace dunebridge::api
