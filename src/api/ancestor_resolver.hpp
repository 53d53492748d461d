/// \file
/// Reads how the terminal ancestors of a request's job ended and continues the request accordingly.
#pragma once

#include <vector>

#include "api/job_cache.hpp"
#include "api/job_request.hpp"
#include "api/job_responder.hpp"
#include "api/request_pipeline.hpp"
#include "kv/client.hpp"

namespace dunebridge::api {

/// Handles requests whose transaction found terminal ancestors. An ancestor that is done no longer
/// needs a precondition; a cancelled one cancels the job too.
class AncestorResolver {
  public:
    AncestorResolver(kv::KvClient& kv_client, JobCache& cache, JobResponder& responder,
                     RequestPipeline& pipeline)
        : kv_client_(kv_client), cache_(cache), responder_(responder), pipeline_(pipeline) {}

    /// Reads the terminal records of these ancestors of the request's job and continues the
    /// request.
    void resolve(JobRequest request, std::vector<JobId> terminal);

  private:
    /// How the ancestors ended; `unavailable` if a terminal record could not be read.
    enum class Resolution : std::uint8_t { all_done, some_cancelled, unavailable };

    /// Removes the ancestors that are done from the submission and from the cache. Returns
    /// some_cancelled if any of the ancestors is cancelled.
    Resolution apply_terminal_records(JobRequest& request, const std::vector<JobId>& terminal,
                                      const kv::MultiGetResult& rows);
    /// Passes the request to its next step.
    void handle_resolution(JobRequest request, Resolution resolution);

    kv::KvClient& kv_client_;
    JobCache& cache_;
    JobResponder& responder_;
    RequestPipeline& pipeline_;
};

}  // namespace dunebridge::api
