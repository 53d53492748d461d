/// \file
/// Messages of the users' interface: submitted jobs and their states.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/types.hpp"
#include "wire/codec.hpp"

namespace dunebridge::wire {

/// Priority of a job, the lowest first.
enum class Priority : std::uint8_t { idle, standard, urgent, prod };

/// A submission. It is also kept, packed, in the key-value store.
struct JobSpec {
    JobId id;
    std::string job_class;
    std::string team;
    Priority priority = Priority::standard;
    std::uint32_t task_count = 1;
    double cores = 0;  ///< of one task, as are the next two
    double accelerators = 0;
    double ram_gb = 0;
    std::optional<std::vector<std::string>> machine_types;  ///< absent: any
    std::optional<std::string> zone;                        ///< absent: any
    bool single_zone = false;                               ///< all tasks in one zone
    bool spread_zones = false;  ///< at most half of the tasks, rounded up, in one zone
    bool spot_allowed = false;
    std::string image;
    double image_gb = 0;
    double expected_run_time_s = 0;    ///< the owner's estimate of a task's run time
    double checkpoint_interval_s = 0;  ///< 0: tasks take no checkpoints
    double checkpoint_duration_s = 0;  ///< time that one checkpoint takes
    std::optional<double> deadline_s;  ///< deadline, from the submission
    std::vector<JobId> dependencies;   ///< jobs that must be done before any of its tasks starts
};

/// The id alone, if the body is a map with a valid one: a repeated submission is answered by it.
std::optional<JobId> peek_job_id(Value body);
/// Whether the text has the form of a job id.
bool valid_job_id(std::string_view id);
/// A list of ids, sorted and without repetitions. Throws DecodeError that names the field.
std::vector<JobId> decode_job_ids(Value list, const char* field);
void encode_job_ids(Writer& writer, const std::vector<JobId>& ids);
/// Throws DecodeError. Job arrays are the only kind of job that the protocol knows.
JobSpec decode_job(Value body);
void encode_job(Writer& writer, const JobSpec& job);

/// State of a job as users see it.
enum class JobPhase : std::uint8_t { pending, running, done, cancelled };

/// Name of the phase on the wire.
std::string_view name_of(JobPhase phase);

/// The answer to a poll.
struct JobStatus {
    JobId id;
    JobPhase phase = JobPhase::pending;
    std::uint64_t done = 0;     ///< number of tasks
    std::uint64_t running = 0;  ///< number of tasks
};

std::string encode(const JobStatus& status);

}  // namespace dunebridge::wire
