/// \file
/// A job in the leader's cluster state: its tasks, counters and dependencies.
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

/// The stage of a job's life cycle.
enum class JobState : std::uint8_t {
    /// Tasks of the job may be placed and run.
    active,
    /// All tasks are done, or a job that it depends on is cancelled. Its terminal record is not
    /// committed yet: a cancellation by a user, which creates the same record, may still come
    /// first.
    finishing,
    /// The job is done or cancelled: none of its tasks may run.
    terminal
};

struct Placement;

/// One task of a job.
///
/// Written by ClusterState (and by ClusterStateLoader while it loads a term's records).
struct Task {
    /// The task's only placement; null if it has none.
    Placement* placement = nullptr;
    bool done = false;
    /// The task has been preempted once and must not be preempted again.
    bool preemption_protected = false;
};

/// A range of a job's tasks that shares one progress record in the key-value store.
struct TaskRange {
    std::uint32_t from = 0;  ///< index of the first task
    std::uint32_t size = 0;  ///< number of tasks
    std::string key;         ///< key of the progress record
};

/// Evidence that a job's tasks fail because of the job and not because of the machines.
///
/// Written by workers::FailureAttribution.
struct JobFailures {
    /// Machines on which tasks of the job have failed since a task of the job last succeeded.
    std::set<MachineName> machines;
    /// The job's tasks are assumed to fail on every machine.
    bool faulty = false;
};

/// The time for which no task of a job is placed after failures and refusals.
///
/// Written by workers::FailureAttribution, and by TransactionBuilder when a record cannot hold all
/// of the job's new placements.
struct JobBackoff {
    /// No task of the job is placed before this time.
    Instant until{};
    /// Length of the last backoff after a failure; the next one is longer. Zero once a task has
    /// succeeded.
    Millis length{0};
};

/// A job's dependencies, and the priority and deadline that it inherits from dependent jobs.
///
/// Written by DependencyGraph; ClusterState sets the initial values, and apply_dependency_record()
/// counts the records that have been read.
struct JobDependencies {
    /// Dependencies that are not known to be done. While there are any, no task of the job is
    /// placed.
    std::set<JobId> unmet;
    /// Number of the job's dependency records (dep/<id>/<n>) in the key-value store.
    std::uint64_t record_count = 0;
    /// Number of these records that have been read.
    std::uint64_t records_read = 0;
    /// The job is cancelled because a job that it depends on was cancelled.
    bool cancelled = false;
    /// When the last of its dependencies was met; the submission time if it has none.
    Instant runnable_since{};
    /// The highest priority of the job and of all its direct and indirect dependents.
    wire::Priority effective_priority = wire::Priority::idle;
    /// The latest end with which the job and all its dependents can meet their deadlines;
    /// Instant::max() if there is no deadline.
    Instant latest_end = Instant::max();

    bool all_records_read() const { return records_read >= record_count; }
};

/// Maximum number of a faulty job's tasks that are placed at the same time.
inline constexpr std::size_t kMaxFaultyJobTasks = 2;

/// A job as the leader knows it.
///
/// Unless noted at a field or its type, fields are written by ClusterState, which keeps the
/// counters consistent with the tasks, and by ClusterStateLoader while it loads a term's records.
struct Job {
    wire::JobSpec spec;
    /// The ranges of its progress records, in order of index. Together they cover all tasks.
    std::vector<TaskRange> ranges;
    /// Sequence number in the order in which this leader learned of its jobs; unique in a term, and
    /// never 0.
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
    std::uint32_t running_count = 0;  ///< number of placed tasks that workers report as running
    /// Number of placements in each zone; "" stands for an unknown zone.
    std::map<std::string, std::uint32_t> placements_by_zone;

    JobDependencies dependencies;
    JobFailures failures;
    JobBackoff backoff;

    /// Returns how many more tasks of the job may be placed now, not considering its team's quota.
    std::size_t placeable_tasks() const {
        if (!failures.faulty) return pending_tasks.size();
        return std::min(
            pending_tasks.size(),
            kMaxFaultyJobTasks - std::min<std::size_t>(placed_count, kMaxFaultyJobTasks));
    }
    /// Returns true if a task of the job is placed or done.
    bool has_started() const { return done_count > 0 || placed_count > 0; }
    /// Returns true if no task of the job may start yet, because dependencies are unmet or not
    /// read.
    bool is_blocked() const {
        return !dependencies.unmet.empty() || !dependencies.all_records_read();
    }
    /// Returns the resources that one task requires.
    Resources task_resources() const { return {spec.cores, spec.accelerators, spec.ram_gb}; }
};

}  // namespace dunebridge::state
