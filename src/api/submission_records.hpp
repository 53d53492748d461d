/// \file
/// What a submission writes to the key-value store: the job record, with all of the job's
/// dependencies if they fit, else with records of their own beside it.
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

/// The refusal of a job that can never run: its team is unknown, or its tasks are larger than the
/// team's limit or than every machine type that it allows. None if it can run.
std::optional<sansio::Refusal> check_runnable(const wire::JobSpec& spec,
                                              const config::Config& config,
                                              const std::vector<wire::MachineType>& types);

/// Whether a submission can be written, and if not, why.
enum class PrepareResult : std::uint8_t {
    ready,
    too_large,              ///< The job's description is larger than a record may be.
    too_many_dependencies,  ///< It directly depends on more jobs than one transaction can write.
    format_not_adopted      ///< It needs a record format that is not in force yet.
};

/// Builds the records that a submission writes. Pure: reads the configuration only.
class SubmissionRecordBuilder {
  public:
    explicit SubmissionRecordBuilder(const config::Config& config) : config_(config) {}

    /// Fills in the submission's writes, for a store in that record format. `now_ms` is the time of
    /// day, in milliseconds since the epoch. May be repeated when the ancestors have changed.
    PrepareResult prepare(Submission& submission, std::uint64_t format, std::int64_t now_ms) const;

  private:
    bool prepare_single_record(Submission& submission) const;
    bool prepare_parts(Submission& submission) const;
    std::optional<std::vector<kv::PackedRecord>> encode_parts(const kv::JobRecord& record) const;

    const config::Config& config_;
};

/// The terminal record of a cancellation by a node that does not know how many tasks the job has.
std::string cancellation_record(std::int64_t now_ms);

}  // namespace dunebridge::api
