/// \file
/// Takes submissions: decodes and validates them, looks up the jobs on which they depend, and has
/// their records prepared.
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

/// The way of a submission up to the SubmissionQueue.
///
/// A repeated submission is answered by its id with the state of its job, whatever else it carries:
/// so a user who got no response may repeat it until there is one. For that reason a submission
/// that is invalid is refused only once a transaction has confirmed that no job has its id.
class SubmissionService {
  public:
    /// `types` are the machine types that the cloud offers; empty until they are known.
    SubmissionService(sansio::Context& context, kv::KvClient& kv_client,
                      const config::Config& config, const std::vector<wire::MachineType>& types,
                      JobCache& cache, JobResponder& responder, RequestPipeline& pipeline);

    /// Takes a submission as it was received.
    void submit(RequestId id, const std::string& body);
    /// Makes the records of a submission whose dependencies are known, and enqueues it.
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
    /// The record format in force, as far as this node has read; 0: the oldest.
    std::uint64_t record_format_ = 0;
};

}  // namespace dunebridge::api
