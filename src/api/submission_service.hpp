/// \file
/// Handles submissions up to the SubmissionQueue: decodes and validates them, looks up their
/// dependencies, and prepares their records.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "api/dependency_lookup.hpp"
#include "api/job_cache.hpp"
#include "api/job_request.hpp"
#include "api/job_responder.hpp"
#include "api/request_pipeline.hpp"
#include "api/submission_records.hpp"
#include "config/config.hpp"
#include "kv/client.hpp"
#include "sansio/context.hpp"
#include "wire/messages.hpp"

namespace dunebridge::api {

/// Handles a submission from its arrival until it is queued.
///
/// A submission with the id of an existing job gets the state of that job, regardless of its other
/// content, so that a user who got no response can repeat it safely. An invalid submission is
/// therefore refused only after a transaction has confirmed that no job has its id.
class SubmissionService {
  public:
    /// `types` are the machine types that the cloud offers; empty until they are known.
    SubmissionService(sansio::Context& context, kv::KvClient& kv_client,
                      const config::Config& config, const std::vector<wire::MachineType>& types,
                      JobCache& cache, JobResponder& responder, RequestPipeline& pipeline);

    /// Handles a submission; `body` is the encoded job. A body without a readable job id is refused
    /// immediately.
    void submit(RequestId id, const std::string& body);
    /// Builds the records of a submission whose dependencies are known, and enqueues it.
    void prepare(JobRequest request);

  private:
    void submit_valid(JobRequest request);
    void reject(JobRequest request, sansio::Refusal refusal);
    void submit_dependent(JobRequest request);
    void read_record_format(JobRequest request);
    void look_up_dependencies(JobRequest request);
    void handle_dependencies(JobRequest request, const DependencyResult& found);

    sansio::Context& context_;
    kv::KvClient& kv_client_;
    const config::Config& config_;
    const std::vector<wire::MachineType>& types_;
    JobResponder& responder_;
    RequestPipeline& pipeline_;
    DependencyLookup dependency_lookup_;
    SubmissionRecordBuilder record_builder_;
    /// The adopted record format as last read by this node; 0 means the oldest.
    std::uint64_t record_format_ = 0;
};

}  // namespace dunebridge::api
