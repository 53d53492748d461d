// What a submission writes to the state service: the job's record, with all of its dependencies if
// they fit, else with records of their own beside it.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "api/pending_request.hpp"
#include "config/config.hpp"
#include "wire/messages.hpp"

namespace dunebridge::api {

// Why a job can never run; empty if it can.
std::string why_never_runs(const wire::JobSpec& spec, const config::Config& config,
                           const std::vector<wire::MachineType>& types);

enum class Preparation : std::uint8_t {
    ready,
    too_large,      // the description is larger than a record may be
    too_many_jobs,  // it depends on more jobs than one transaction can write
    later           // it needs a format of the ledger that is not in force yet
};

class SubmissionRecords {
  public:
    explicit SubmissionRecords(const config::Config& config) : config_(config) {}

    // Fills in the writes, for a ledger in that format; `now_ms` is the time of day.
    Preparation prepare(Submission& submission, std::uint64_t format, std::int64_t now_ms) const;

  private:
    bool prepare_one_record(Submission& submission) const;
    bool prepare_parts(Submission& submission) const;

    const config::Config& config_;
};

// The record of a cancellation by a node that does not know how many tasks the job has.
std::string cancelled_record(std::int64_t now_ms);

}  // namespace dunebridge::api
