/// \file
/// Finds out how a request's terminal ancestors have ended, and goes on accordingly.
#pragma once

#include <vector>

#include "api/job_cache.hpp"
#include "api/job_request.hpp"
#include "api/job_responder.hpp"
#include "api/request_pipeline.hpp"
#include "kv/client.hpp"

namespace dunebridge::api {

/// An ancestor that is done needs no guard any more; one that is cancelled cancels the job too.
class AncestorResolver {
  public:
    AncestorResolver(kv::KvClient& kv_client, JobCache& cache, JobResponder& responder,
                     RequestPipeline& pipeline)
        : kv_client_(kv_client), cache_(cache), responder_(responder), pipeline_(pipeline) {}

    /// Reads the terminal records of these ancestors of the request's job.
    void resolve(JobRequest request, std::vector<JobId> terminal);

  private:
    enum class Resolution : std::uint8_t { all_done, some_cancelled, unavailable };

    /// Removes the ancestors that are done from the request and from the cache.
    Resolution apply_terminal_records(JobRequest& request, const std::vector<JobId>& terminal,
                                      const kv::MultiGetResult& rows);
    void handle_resolution(JobRequest request, Resolution resolution);

    kv::KvClient& kv_client_;
    JobCache& cache_;
    JobResponder& responder_;
    RequestPipeline& pipeline_;
};

}  // namespace dunebridge::api
