/// \file
/// A job in the leader's cluster state: its tasks, its counters and what it depends on.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/resources.hpp"
#include "base/types.hpp"
#include "wire/job_messages.hpp"

namespace dunebridge::state {

/// Where a job is in its life.
enum class JobState : std::uint8_t {
    /// Its tasks may be placed and run.
    active,
    /// Every task is done, or a job that it depends on is cancelled: its end is being committed.
    finishing,
    /// Done or cancelled: none of its tasks may run.
    terminal
};

struct Placement;

/// One task of a job.
///
/// Written by ClusterState (and by ClusterStateLoader while it loads a term's records).
struct Task {
    /// Where the task is recorded to be; null if nowhere. A task has one placement at most.
    Placement* placement = nullptr;
    bool done = false;
    /// The task has been stopped by preemption once, and must not be preempted again.
    bool preemption_protected = false;
};

/// A part of a job's tasks that has a progress record of its own in the key-value store.
struct TaskRange {
    std::uint32_t from = 0;  ///< index of its first task
    std::uint32_t size = 0;  ///< number of tasks
    std::string key;         ///< key of the record
};

/// The evidence that a job's tasks fail for a reason of the job's own.
///
/// Written by workers::FailureAttribution.
struct JobFailures {
    /// Machines on which its tasks have failed since one of them last succeeded.
    std::set<MachineName> machines;
    /// Its tasks are taken to fail on every machine.
    bool faulty = false;
};

/// The time for which no task of a job is placed after errors and refusals.
///
/// Written by workers::FailureAttribution, and by TransactionBuilder when a record cannot hold all
/// of the job's new placements.
struct JobBackoff {
    /// No task of the job is placed before this time.
    Instant until{};
    /// Length of the last backoff after a failure; the next one is longer. Zero after a success.
    Millis length{0};
};

/// What a job depends on, and what the jobs that depend on it require of it.
///
/// Written by DependencyGraph; ClusterState sets the initial values, ClusterStateLoader counts the
/// records that it has read.
struct JobDependencies {
    /// Jobs that it depends on and that are not known to be done. While there are any, no task of
    /// the job is placed.
    std::set<JobId> unmet;
    /// Number of its dependency records (dep/<id>/<n>) in the key-value store.
    std::uint64_t record_count = 0;
    /// How many of these records have been read.
    std::uint64_t records_read = 0;
    /// A job that it depends on is cancelled, and this job is cancelled with it.
    bool cancelled = false;
    /// When the last job that it depends on was done; without any, when it was submitted.
    Instant runnable_since{};
    /// The highest priority of the job itself and of all jobs that depend on it.
    wire::Priority effective_priority = wire::Priority::idle;
    /// The latest end that lets the job and all jobs that depend on it meet their deadlines.
    Instant latest_end = Instant::max();

    bool all_records_read() const { return records_read >= record_count; }
};

/// Number of tasks of a faulty job that are tried at a time.
inline constexpr std::size_t kFaultyJobTasks = 2;

/// A job as the leader knows it.
///
/// Fields outside the grouped types are written by ClusterState, which keeps the counters
/// consistent with the tasks, and by ClusterStateLoader while it loads a term's records.
struct Job {
    wire::JobSpec spec;
    /// The records that hold its tasks' progress: all of its tasks, in order of index.
    std::vector<TaskRange> ranges;
    /// Order of arrival at this leader; unique in a term, and never 0.
    std::uint64_t sequence = 0;
    Instant submitted_at{};
    JobState state = JobState::active;
    /// When the job became terminal.
    Instant terminal_since{};
    std::vector<Task> tasks;
    /// Indices of the tasks that are neither done nor placed; the last is placed first.
    std::vector<std::uint32_t> pending_tasks;
    std::uint32_t done_count = 0;     ///< number of tasks that are done
    std::uint32_t placed_count = 0;   ///< number of tasks that have a placement
    std::uint32_t running_count = 0;  ///< number of placed tasks that a worker shows as running
    /// Number of its placements by zone; "" where the zone is not known.
    std::map<std::string, std::uint32_t> placements_by_zone;

    JobDependencies dependencies;
    JobFailures failures;
    JobBackoff backoff;

    /// How many more of its tasks may be placed now, whatever its team's quota is.
    std::size_t placeable_tasks() const {
        if (!failures.faulty) return pending_tasks.size();
        return std::min(pending_tasks.size(),
                        kFaultyJobTasks - std::min<std::size_t>(placed_count, kFaultyJobTasks));
    }
    /// Whether some task of it has been given a machine.
    bool has_started() const { return done_count > 0 || placed_count > 0; }
    /// Whether no task of it may start yet, because of jobs that it depends on.
    bool is_blocked() const {
        return !dependencies.unmet.empty() || !dependencies.all_records_read();
    }
    /// What one task takes of its machine.
    Resources task_resources() const { return {spec.cores, spec.accelerators, spec.ram_gb}; }
};

}  // namespace dunebridge::state
