/// \file
/// Builds the records that a submission writes to the key-value store: a job record that includes
/// the job's dependencies, or, if they do not fit, a job record and separate dependency parts.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "api/job_request.hpp"
#include "config/config.hpp"
#include "sansio/refusal.hpp"
#include "wire/messages.hpp"

namespace dunebridge::api {

/// Returns a refusal if the job can never run because its team is unknown, a task exceeds the
/// team's limit, or a task fits no machine type that the job allows, or none in the zone that the
/// job requires. Returns nothing if the job can run.
std::optional<sansio::Refusal> check_runnable(const wire::JobSpec& spec,
                                              const config::Config& config,
                                              const std::vector<wire::MachineType>& types);

/// Whether a submission can be written, or the reason why not.
enum class PrepareResult : std::uint8_t {
    ready,
    too_large,              ///< The job's description exceeds the maximum size of a record.
    too_many_dependencies,  ///< Its direct dependencies do not fit one transaction.
    format_not_adopted      ///< It needs a record format that has not been adopted yet.
};

/// Builds the records that a submission writes. Has no side effects beyond the submission.
class SubmissionRecordBuilder {
  public:
    explicit SubmissionRecordBuilder(const config::Config& config) : config_(config) {}

    /// Fills in the submission's writes for the adopted record format `format`. `now_ms` is the
    /// wall clock time in milliseconds since the Unix epoch. May be called again after the
    /// ancestors have changed.
    PrepareResult prepare(Submission& submission, std::uint64_t format, std::int64_t now_ms) const;

  private:
    bool prepare_single_record(Submission& submission) const;
    bool prepare_parts(Submission& submission) const;
    std::optional<std::vector<kv::PackedRecord>> encode_parts(const kv::JobRecord& record) const;

    const config::Config& config_;
};

/// Returns the encoded terminal record of a cancelled job, without the number of its tasks, which
/// the cancelling node may not know. `now_ms` is in milliseconds since the Unix epoch.
std::string cancellation_record(std::int64_t now_ms);

}  // namespace dunebridge::api
