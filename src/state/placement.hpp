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

/// Number of low bits of an attempt number that hold a counter; the high bits hold the leader's
/// term. Attempt numbers therefore increase from one leader to the next without being stored.
inline constexpr int kAttemptBits = 28;

/// Whether a placement is recorded in the key-value store. It may be acted on only when committed.
enum class CommitState : std::uint8_t {
    uncommitted,     ///< not recorded, and not in the transaction in progress
    in_transaction,  ///< recorded by the transaction in progress
    committed        ///< recorded
};

/// How this leader has sent the command that starts a placement's task.
enum class StartDelivery : std::uint8_t {
    /// Not sent, or known not to have been executed.
    not_sent,
    /// In the direct command that is in progress.
    in_direct_command,
    /// Sent in the reply to a heartbeat; the worker's next heartbeat shows whether it arrived.
    in_heartbeat_reply,
    /// Sent; a heartbeat with the current fencing token shows whether the worker has the task.
    awaiting_confirmation
};

/// The delivery status of the command that starts a placement's task.
///
/// Written by workers::CommandDispatcher, which sends it, and workers::HeartbeatProcessor, which
/// reconciles it with workers' heartbeats. ClusterState sets it for restored placements.
struct StartStatus {
    StartDelivery delivery = StartDelivery::not_sent;
    /// The reply to the worker's last heartbeat carried the command. Until the next heartbeat the
    /// worker may execute it, whatever the outcome of a direct command that repeats it.
    bool in_heartbeat_reply = false;
    /// The lowest fence counter with which the worker refuses a late duplicate of the direct
    /// command that started the task; 0 if no direct command started it.
    std::uint64_t fenced_from = 0;
    /// The newest agent epoch in which this leader sent the command or a heartbeat listed the task;
    /// 0 if there is none.
    std::uint64_t agent_epoch = 0;
};

/// The status of a placement's task in the worker's heartbeats.
///
/// Written by workers::HeartbeatProcessor.
struct ObservedTask {
    /// A heartbeat has listed the task.
    bool seen = false;
    /// The phase of the task in the last heartbeat that listed it.
    wire::TaskPhase phase = wire::TaskPhase::other;
};

/// The request to stop a placement's task.
struct StopRequest {
    /// Written by ClusterState::stop_task.
    bool requested = false;
    /// The task is stopped by preemption and will be protected from a second one. Written by the
    /// scheduler.
    bool preempted = false;
    /// Time that the worker gives the task to save a checkpoint. Written by
    /// ClusterState::stop_task.
    Seconds grace{0};
};

/// One attempt at a task, assigned to a machine.
///
/// Owned by its Machine. Unless noted at a field or its type, fields are written by ClusterState.
struct Placement {
    Job* job = nullptr;
    Machine* machine = nullptr;
    std::uint32_t index = 0;  ///< of the task in its job
    Attempt attempt;
    /// Written by ClusterStateWriter and TransactionBuilder.
    CommitState commit = CommitState::uncommitted;
    Instant placed_at{};
    /// Since when the worker has reported the task as running; Instant{} if it does not.
    Instant running_since{};
    StartStatus start;
    ObservedTask observed;
    StopRequest stop;

    bool is_committed() const { return commit == CommitState::committed; }
    bool is_running() const { return running_since != Instant{}; }
    TaskRef ref() const;
};

/// Key of a placement on its machine. Orders the placements of earlier jobs first.
struct PlacementKey {
    std::uint64_t job_sequence = 0;
    std::uint32_t index = 0;
    auto operator<=>(const PlacementKey&) const = default;
};

}  // namespace dunebridge::state
