// The leader's model of jobs, tasks, placements, machines and rentals. Kept consistent by
// ClusterState; WorkerManager, Provisioner and Scheduler read it and keep their own fields in it.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/resources.hpp"
#include "base/types.hpp"
#include "wire/messages.hpp"

namespace dunebridge::state {

// Owners' estimates of run times are often wrong by half.
inline constexpr double kRunTimeUncertainty = 1.5;

// Attempts are the term above a counter: they grow across leaders without being stored.
inline constexpr int kAttemptBits = 28;

using Version = std::uint64_t;  // counts the ledger's changes in memory

enum class JobState : std::uint8_t {
    active,
    finishing,  // every task is done, or a job that it needs is cancelled; the end is being
                // committed
    terminal    // done or cancelled: nothing of it may run
};

struct Placement;
struct Machine;

struct Task {
    Placement* at = nullptr;  // where it is recorded to be; a task has one placement at most
    bool done = false;
    bool preemption_protected = false;  // the paper's flag 2: stopped once by preemption
};

// Part of a job's tasks that has a record of its own.
struct TaskRange {
    std::uint32_t from = 0;
    std::uint32_t size = 0;
    std::string key;
};

// What tells against a job whose tasks fail (workers/failure_attribution.hpp).
struct JobFailures {
    std::set<MachineName> machines;  // on which its tasks failed since one of them last succeeded
    bool faulty = false;             // its tasks are taken to fail on every machine
};

// Of a faulty job, so many tasks are tried at a time.
inline constexpr std::size_t kFaultyJobTasks = 2;

struct Job {
    wire::JobSpec spec;
    std::vector<TaskRange> ranges;  // all of its tasks, in order
    std::uint64_t sequence = 0;
    Instant submitted{};
    JobState state = JobState::active;
    Instant terminal_since{};
    std::vector<Task> tasks;
    std::vector<std::uint32_t> waiting;  // neither done nor placed; taken from the back
    std::uint32_t done = 0;
    std::uint32_t placed = 0;
    std::uint32_t running = 0;
    std::map<std::string, std::uint32_t> zones;  // placements by zone; "" where it is not known

    // Chains. What it waits on and is not known to be done; while there is any, it holds nothing.
    std::set<JobId> unmet_dependencies;
    // Of its records dep/<id>/<n>, how many there are, and how many have been read.
    std::uint64_t dependency_parts = 0;
    std::uint64_t parts_read = 0;
    bool cancelled_by_dependency = false;  // one of those is cancelled, and this job ends with it
    Instant
        runnable_since{};  // when the last job that it needs was done; else when it was submitted
    // What the jobs that need it ask of it: the highest priority, and the latest end.
    wire::Priority priority = wire::Priority::idle;
    Instant latest_end = Instant::max();

    Instant backoff_until{};  // after errors and refusals
    Millis pause{0};
    JobFailures failures;

    // How many more of its tasks may be placed now, whatever its team's limit is.
    std::size_t placeable_tasks() const {
        if (!failures.faulty) return waiting.size();
        return std::min(waiting.size(),
                        kFaultyJobTasks - std::min<std::size_t>(placed, kFaultyJobTasks));
    }
    // Some task of it has been given a machine.
    bool has_started() const { return done > 0 || placed > 0; }
    // Nothing of it may start yet.
    bool is_blocked() const { return !unmet_dependencies.empty() || parts_read < dependency_parts; }
    Resources task_resources() const { return {spec.cores, spec.accelerators, spec.ram_gb}; }
};

// How a start has left this leader.
enum class StartDelivery : std::uint8_t {
    not_sent,              // not on its way: certainly not sent, or known not to have been executed
    in_direct_command,     // in the direct command now under way
    in_heartbeat_reply,    // in the answer to a check-in; settled by the next check-in
    awaiting_confirmation  // sent; a sure report shows whether it is there
};

struct Placement {
    Job* job = nullptr;
    Machine* machine = nullptr;
    std::uint32_t index = 0;
    Attempt attempt;
    bool committed = false;
    bool in_commit = false;
    StartDelivery sent = StartDelivery::not_sent;
    // The answer to the last check-in carried the start: until the next one it may be executed,
    // whatever becomes of a direct command that repeats it.
    bool in_heartbeat_reply = false;
    // A repeat of the direct command that started it is refused once the worker has shown this
    // fence; 0: no direct command has.
    std::uint64_t fenced_from = 0;
    bool seen = false;
    wire::TaskPhase phase = wire::TaskPhase::other;
    std::uint64_t agent_epoch =
        0;  // of the session it was sent to or seen in, in this term; 0: neither
    Instant placed_at{};
    Instant running_since{};
    bool stopping = false;
    bool preempted = false;
    double grace_s = 0;

    TaskRef ref() const { return {job->spec.id, index}; }
};

// A task that the worker lists as exited and that must be cleared once its outcome is committed.
struct ExitedTask {
    TaskRef task;
    Attempt attempt;
    std::string record;  // the key that must hold the outcome; empty: none
    Version outcome = 0;
    std::uint64_t fenced_from = 0;  // as of its placement
};

// The order of a machine's tasks: those of earlier jobs first.
struct PlacementKey {
    std::uint64_t job_sequence = 0;
    std::uint32_t index = 0;
    auto operator<=>(const PlacementKey&) const = default;
};

// A task that a report lists and no record names.
struct UnrecordedTask {
    TaskRef task;
    Attempt attempt;
};

// What the leader of this term knows of a machine's worker (workers/).
struct WorkerStatus {
    Instant first_known_at{};  // to this term's leader
    bool heartbeat_received = false;
    HeartbeatSequence last;
    HeartbeatSequence last_heartbeat_request;
    Instant last_heartbeat_at{};
    Instant last_reply_at{};
    // The highest fencing token that the worker has shown, and the machine's own part of the one
    // that is current.
    FencingToken acknowledged_token;
    std::uint64_t fence_counter = 0;
    // Answers to check-ins that carried the current token, since a report last showed it.
    std::uint32_t unacknowledged_replies = 0;
    Instant unacknowledged_since{};
    // Direct commands.
    bool needs_commands = false;
    bool command_in_flight = false;
    Instant next_command_at{};
    // Tasks that the last report listed: those that have ended, and those that no record names.
    std::vector<ExitedTask> exited;
    std::vector<UnrecordedTask> unrecorded_tasks;
    Instant refused_until{};
    // How often tasks of each job failed here since one of any job last succeeded.
    std::map<JobId, std::uint32_t> failures;
};

// What the cloud's answers to this term's leader say of a machine (provisioning/).
struct InstanceStatus {
    Instant provisioned_at{};  // as far as the machine list shows
    bool starting = true;
    // How it comes up (provisioning/boot_monitor.hpp).
    bool boot_tracked = false;  // rented in this term, and not up yet
    bool overdue = false;       // it should be up
    // Overdue, and the fleet may be scaled out by another machine in its place.
    bool replacement_allowed = false;
    bool listed = false;
    std::uint32_t missed_listings = 0;
    bool failed = false;
    bool deleting = false;
};

struct Machine {
    MachineName host;
    std::string endpoint;
    std::string machine_type;
    std::string zone;
    bool spot = false;
    std::string rental;  // key of the rental that brought it
    std::map<PlacementKey, Placement> tasks;
    Resources total;      // what its type has; nothing until that is known
    Resources used;       // by all of its tasks
    Resources releasing;  // the part of it that tasks being stopped will leave

    WorkerStatus worker;
    InstanceStatus instance;
    bool cordoned = false;                 // gets no new tasks, and is returned once it has none
    std::optional<Instant> preemption_at;  // when the cloud takes it, announced by a notice
    Instant idle_since{};
    std::set<std::string> images;  // seen running here; for ties only
    std::uint64_t reserved_for =
        0;  // sequence number of the aged job that this machine is kept for
    Instant reserved_since{};
};

// A rental: the request, and once it is answered the machines it brought that are not gone.
struct ScaleOutRecord {
    wire::ScaleOutRequest request;
    bool answered = false;
    std::set<MachineName> hosts;
};

struct TeamUsage {
    double cpus = 0;
    double gpus = 0;
};

}  // namespace dunebridge::state
