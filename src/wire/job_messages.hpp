/// \file
/// Messages of the user API: job submissions and job status.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/types.hpp"
#include "wire/codec.hpp"

namespace dunebridge::wire {

/// Priority of a job, from lowest to highest.
enum class Priority : std::uint8_t { idle, standard, urgent, prod };

/// A job as a user submits it. It is also stored, encoded, in the key-value store.
struct JobSpec {
    JobId id;
    std::string job_class;
    std::string team;
    Priority priority = Priority::standard;
    std::uint32_t task_count = 1;
    double cores = 0;  ///< Of one task, as are `accelerators` and `ram_gb`.
    double accelerators = 0;
    double ram_gb = 0;
    std::optional<std::vector<std::string>> machine_types;  ///< Allowed machine types; absent: any.
    std::optional<std::string> zone;                        ///< Required zone; absent: any.
    bool single_zone = false;   ///< All tasks must run in the same zone.
    bool spread_zones = false;  ///< At most half of the tasks, rounded up, may run in one zone.
    bool spot_allowed = false;
    std::string image;
    double image_gb = 0;
    double expected_run_time_s = 0;    ///< The user's estimate of one task's run time.
    double checkpoint_interval_s = 0;  ///< 0: tasks take no checkpoints.
    double checkpoint_duration_s = 0;  ///< Time that it takes to save one checkpoint.
    std::optional<double> deadline_s;  ///< Measured from the submission; absent: no deadline.
    std::vector<JobId> dependencies;   ///< Jobs that must be done before any of the tasks starts.
};

/// Returns only the job id of a submission; nullopt if the body is not a map with a valid id. It is
/// all that is needed to respond to a repeated submission.
std::optional<JobId> peek_job_id(Value body);
/// Returns whether the text is a well-formed job id.
bool valid_job_id(std::string_view id);
/// Decodes a list of job ids, sorts it and removes duplicates. Throws a DecodeError that names the
/// field.
std::vector<JobId> decode_job_ids(Value list, const char* field);
void encode_job_ids(Writer& writer, const std::vector<JobId>& ids);
/// Decodes a submission. Throws DecodeError. Job arrays are the only kind of job in the protocol.
JobSpec decode_job(Value body);
void encode_job(Writer& writer, const JobSpec& job);

/// State of a job as reported to users.
enum class JobPhase : std::uint8_t { pending, running, done, cancelled };

/// Returns the name of the phase on the wire.
std::string_view name_of(JobPhase phase);

/// Response to a request for the status of a job.
struct JobStatus {
    JobId id;
    JobPhase phase = JobPhase::pending;
    std::uint64_t done = 0;     ///< Number of tasks.
    std::uint64_t running = 0;  ///< Number of tasks.
};

std::string encode(const JobStatus& status);

}  // namespace dunebridge::wire
