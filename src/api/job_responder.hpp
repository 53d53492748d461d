/// \file
/// Sends the responses to users' requests about jobs.
#pragma once

#include <functional>

#include "api/job_cache.hpp"
#include "api/job_request.hpp"
#include "coordination/peer_monitor.hpp"
#include "sansio/context.hpp"
#include "wire/messages.hpp"

namespace dunebridge::api {

/// Returns the progress of an open job, from the cluster state on the leader and from the leader's
/// heartbeats elsewhere. It is for display only and may be stale.
using GetProgress = std::function<coordination::JobProgress(const JobId&)>;
/// Called when each node that must know of a cancellation before the user does either knows of it
/// or cannot be reached.
using OnPublished = std::function<void()>;
/// Publishes a committed cancellation to the nodes that must know of it before the user gets a
/// response.
using PublishCancellation = std::function<void(const JobId&, OnPublished)>;

/// Responds to requests about jobs. Each request must be responded to exactly once.
class JobResponder {
  public:
    JobResponder(sansio::Context& context, JobCache& cache, GetProgress get_progress,
                 PublishCancellation publish_cancellation);

    /// Responds if the job is terminal according to the cache. Returns whether it responded.
    bool respond_if_terminal(const JobRequest& request);
    /// Responds with a terminal state that has just been read or written, and caches it. A
    /// cancellation is published first, so that no response shows a cancellation that is missing
    /// from this node's cancellation log.
    void respond_terminal(JobRequest request, const wire::JobStatus& terminal);
    /// Responds that the job has been created, with its state.
    void respond_created(const JobRequest& request, const wire::JobStatus& status);
    /// Responds that the job has been accepted and is open, as a transaction must have confirmed.
    void respond_open(const JobRequest& request);
    /// Responds that the job was never accepted, as a transaction must have confirmed. A rejected
    /// submission gets its refusal.
    void respond_unknown(const JobRequest& request);
    /// Asks the user to retry after a delay with random jitter.
    void respond_unavailable(const JobRequest& request);

  private:
    sansio::Context& context_;
    JobCache& cache_;
    GetProgress get_progress_;
    PublishCancellation publish_cancellation_;
};

}  // namespace dunebridge::api
