/// \file
/// Responds to users with the states of jobs.
#pragma once

#include <functional>

#include "api/job_cache.hpp"
#include "api/job_request.hpp"
#include "coordination/peer_monitor.hpp"
#include "sansio/context.hpp"
#include "wire/messages.hpp"

namespace dunebridge::api {

/// Returns how far an open job is, by the leader's own cluster state or by its heartbeats. It is
/// for display only, and may be stale.
using GetProgress = std::function<coordination::JobProgress(const JobId&)>;
/// Called once those who must know of a cancellation before its user know it, or cannot be reached.
using OnPublished = std::function<void()>;
/// Hands a committed cancellation to those who must know of it before its user is responded to.
using PublishCancellation = std::function<void(const JobId&, OnPublished)>;

/// Writes the responses that users get about jobs.
class JobResponder {
  public:
    JobResponder(sansio::Context& context, JobCache& cache, GetProgress get_progress,
                 PublishCancellation publish_cancellation);

    /// Responds if the cache knows that the job is terminal; returns whether it did.
    bool respond_if_terminal(const JobRequest& request);
    /// Responds with a terminal state that has just been read or written, and caches it. A
    /// cancellation is published first: no response shows one that this node's cancellation log
    /// does not hold.
    void respond_terminal(JobRequest request, const wire::JobStatus& terminal);
    /// Responds that the job has been accepted and is in that state.
    void respond_created(const JobRequest& request, const wire::JobStatus& status);
    /// Responds to a request for which a transaction has confirmed that the job is open, or
    /// unknown, as the cache says.
    void respond_confirmed(const JobRequest& request);
    /// Asks the user to try again, after a delay that differs from request to request.
    void respond_unavailable(const JobRequest& request);

  private:
    void respond_open(const JobRequest& request);

    sansio::Context& context_;
    JobCache& cache_;
    GetProgress get_progress_;
    PublishCancellation publish_cancellation_;
};

}  // namespace dunebridge::api
