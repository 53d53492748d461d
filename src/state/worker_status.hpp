/// \file
/// What the leader of the current term knows of a machine's worker.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/types.hpp"
#include "state/version.hpp"

namespace dunebridge::state {

/// A task that the worker lists as exited. It is cleared from the worker once its outcome is
/// committed.
struct ExitedTask {
    TaskRef task;
    Attempt attempt;
    /// Key of the record that must hold the outcome; empty if there is none.
    std::string record_key;
    /// Version of the cluster state that holds the outcome.
    Version outcome_version = 0;
    /// As in StartStatus::fenced_from.
    std::uint64_t fenced_from = 0;
};

/// A task that a heartbeat lists and no record names.
struct UnrecordedTask {
    TaskRef task;
    Attempt attempt;
};

/// What the leader of the current term knows of a machine's worker.
///
/// Written by the package workers; ClusterState sets first_known_at and needs_commands.
struct WorkerStatus {
    /// Address at which it takes direct commands, as its last heartbeat gave it.
    std::string endpoint;
    /// When this term's leader first knew of the machine.
    Instant first_known_at{};
    /// A heartbeat has been applied in this term.
    bool heartbeat_received = false;
    /// Sequence of the newest heartbeat that has been applied, whichever way it came.
    HeartbeatSequence last_applied;
    /// Sequence of the newest heartbeat that the worker has sent as a request.
    HeartbeatSequence last_heartbeat_request;
    Instant last_heartbeat_at{};
    /// When the worker's lease was last renewed by a reply, as late as it can have been.
    Instant last_reply_at{};

    /// The highest fencing token that the worker has shown.
    FencingToken acknowledged_token;
    /// The machine's own part of the fencing token that is current.
    std::uint64_t fence_counter = 0;
    /// Replies to heartbeats that carried the current token, since a heartbeat last showed it.
    std::uint32_t unacknowledged_replies = 0;
    Instant unacknowledged_since{};

    /// The worker is to get a direct command; ClusterState::request_commands sets it.
    bool needs_commands = false;
    bool command_in_flight = false;
    /// No direct command is sent before this time.
    Instant next_command_at{};

    /// Tasks that the last heartbeat listed as exited.
    std::vector<ExitedTask> exited;
    /// Tasks that the last heartbeat listed and no record names.
    std::vector<UnrecordedTask> unrecorded_tasks;

    /// Gets no new tasks before this time, as it has refused one.
    Instant refusal_backoff_until{};
    /// Gets no new tasks, and is scaled in once it has none: too many jobs failed on it.
    bool cordoned = false;
    /// How often tasks of each job failed here since one of any job last succeeded.
    std::map<JobId, std::uint32_t> failures;
    /// When the cloud takes the machine, as announced by a preemption notice.
    std::optional<Instant> preemption_at;
    /// Images seen running here; they decide between equally good machines only.
    std::set<std::string> images;
};

}  // namespace dunebridge::state
