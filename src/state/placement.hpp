/// \file
/// A placement: the assignment of one attempt at a task to a machine.
#pragma once

#include <compare>
#include <cstdint>

#include "base/types.hpp"
#include "wire/worker_messages.hpp"

namespace dunebridge::state {

struct Job;
struct Machine;

/// Attempt numbers hold the leader's term above a counter of so many bits. They grow from leader to
/// leader without being stored.
inline constexpr int kAttemptBits = 28;

/// Whether a placement is on record in the key-value store. It may be acted on only once it is.
enum class CommitState : std::uint8_t {
    uncommitted,     ///< not on record, and in no transaction under way
    in_transaction,  ///< the transaction under way records it
    committed        ///< on record
};

/// How the command that starts a placement's task has left this leader.
enum class StartDelivery : std::uint8_t {
    /// Not on its way: certainly not sent, or known not to have been executed.
    not_sent,
    /// In the direct command that is under way.
    in_direct_command,
    /// In the reply to a heartbeat; the worker's next heartbeat shows whether it arrived.
    in_heartbeat_reply,
    /// Sent; a heartbeat that shows the current fencing token tells whether the task is there.
    awaiting_confirmation
};

/// What has become of the command that starts a placement's task.
///
/// Written by workers::CommandDispatcher, which sends it, and workers::HeartbeatProcessor, which
/// reconciles it with workers' heartbeats. ClusterState sets it for restored placements.
struct StartStatus {
    StartDelivery delivery = StartDelivery::not_sent;
    /// The reply to the worker's last heartbeat carried the command. Until the next heartbeat the
    /// worker may execute it, whatever becomes of a direct command that repeats it.
    bool in_heartbeat_reply = false;
    /// The fence counter from which the worker refuses a late repeat of the direct command that
    /// started the task; 0 if no direct command did.
    std::uint64_t fenced_from = 0;
    /// The newest agent epoch to which this leader sent the command or in which it saw the task;
    /// 0 for neither.
    std::uint64_t agent_epoch = 0;
};

/// What the worker's heartbeats have shown of a placement's task.
///
/// Written by workers::HeartbeatProcessor.
struct ObservedTask {
    /// Some heartbeat has listed the task.
    bool seen = false;
    /// Its phase in the last heartbeat that listed it.
    wire::TaskPhase phase = wire::TaskPhase::other;
};

/// The request to stop a placement's task.
struct StopRequest {
    /// Written by ClusterState::stop_task.
    bool requested = false;
    /// The task is stopped by preemption; it is protected from a second one. Written by the
    /// scheduler.
    bool preempted = false;
    /// Time that the worker leaves the task to save a checkpoint. Written by
    /// ClusterState::stop_task.
    Seconds grace{0};
};

/// One attempt at a task, assigned to a machine.
///
/// Owned by its Machine. Fields outside the grouped types are written by ClusterState.
struct Placement {
    Job* job = nullptr;
    Machine* machine = nullptr;
    std::uint32_t index = 0;  ///< of the task in its job
    Attempt attempt;
    /// Written by ClusterStateWriter and TransactionBuilder.
    CommitState commit = CommitState::uncommitted;
    Instant placed_at{};
    /// Since when the worker has shown the task as running; Instant{} while it does not.
    Instant running_since{};
    StartStatus start;
    ObservedTask observed;
    StopRequest stop;

    bool is_committed() const { return commit == CommitState::committed; }
    bool is_running() const { return running_since != Instant{}; }
    TaskRef ref() const;
};

/// The order of a machine's placements: those of earlier jobs first.
struct PlacementKey {
    std::uint64_t job_sequence = 0;
    std::uint32_t index = 0;
    auto operator<=>(const PlacementKey&) const = default;
};

}  // namespace dunebridge::state
