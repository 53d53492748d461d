/// \file
/// The status of a machine's worker as known to the leader of the current term.
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

/// A task that the worker lists as exited. The worker is instructed to clear it from its list once
/// the outcome is committed.
struct ExitedTask {
    TaskRef task;
    Attempt attempt;
    /// Key of the progress record in which the outcome must be committed; empty if there is none.
    std::string record_key;
    /// Version of the cluster state that contains the outcome.
    Version outcome_version = 0;
    /// As in StartStatus::fenced_from.
    std::uint64_t fenced_from = 0;
};

/// A task that a heartbeat lists and no progress record contains.
struct UnrecordedTask {
    TaskRef task;
    Attempt attempt;
};

/// The status of a machine's worker as known to the leader of the current term.
///
/// Written by the package workers; ClusterState sets first_known_at and needs_commands.
struct WorkerStatus {
    /// Address at which the worker accepts direct commands, from its last heartbeat.
    std::string endpoint;
    /// When the leader of this term first learned of the machine.
    Instant first_known_at{};
    /// A heartbeat has been applied in this term.
    bool heartbeat_received = false;
    /// Sequence of the newest heartbeat that has been applied: a request of the worker, or its
    /// response to a direct command.
    HeartbeatSequence last_applied;
    /// Sequence of the newest heartbeat that the worker has sent as a request.
    HeartbeatSequence last_heartbeat_request;
    Instant last_heartbeat_at{};
    /// The latest time at which a reply can have renewed the worker's lease.
    Instant last_reply_at{};

    /// The highest fencing token that the worker's heartbeats have contained.
    FencingToken acknowledged_token;
    /// The fence counter in the machine's current fencing token.
    std::uint64_t fence_counter = 0;
    /// Number of replies with the current token since a heartbeat last contained that token.
    std::uint32_t unacknowledged_replies = 0;
    Instant unacknowledged_since{};

    /// A direct command is to be sent to the worker. Set by ClusterState::request_commands.
    bool needs_commands = false;
    bool command_in_flight = false;
    /// No direct command is sent before this time.
    Instant next_command_at{};

    /// Tasks that the last heartbeat listed as exited.
    std::vector<ExitedTask> exited;
    /// Tasks that the last heartbeat listed and no progress record contains.
    std::vector<UnrecordedTask> unrecorded_tasks;

    /// The worker gets no new tasks before this time because it has refused one.
    Instant refusal_backoff_until{};
    /// The machine gets no new tasks and is scaled in once it has none, because tasks of too many
    /// jobs failed on it.
    bool cordoned = false;
    /// Number of task failures on the machine by job, since a task of any job last succeeded on it.
    std::map<JobId, std::uint32_t> failures;
    /// When the cloud will reclaim the machine, according to its preemption notice.
    std::optional<Instant> preemption_at;
    /// Images of tasks that have run on the machine. Used only to choose between otherwise equally
    /// suitable machines.
    std::set<std::string> images;
};

}  // namespace dunebridge::state
