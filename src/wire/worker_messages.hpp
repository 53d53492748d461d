/// \file
/// Messages between controllers and workers, and the bodies of refusals.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/types.hpp"
#include "wire/codec.hpp"

namespace dunebridge::wire {

/// What a task does on its worker. `other` stands for phases that this version does not know.
enum class TaskPhase : std::uint8_t { fetching, running, saving, exited, other };

/// Why a task has exited. `other` stands for reasons that this version does not know.
enum class ExitReason : std::uint8_t { none, done, stopped, error, full, busy, unknown, other };

/// One task in a worker's heartbeat.
struct TaskStatus {
    TaskRef task;
    Attempt attempt;
    TaskPhase phase = TaskPhase::other;
    ExitReason reason = ExitReason::none;  ///< set only if the task has exited
    bool stored = false;                   ///< its result, or its checkpoint, is stored
};

/// A worker's heartbeat with its status: the body of a heartbeat, and the response to a direct
/// command.
struct WorkerHeartbeat {
    MachineName host;
    std::string endpoint;
    std::string machine_type;
    std::string zone;
    bool spot = false;
    HeartbeatSequence order;
    FencingToken token;                ///< the highest that the worker has seen
    std::optional<double> eviction_s;  ///< seconds until the cloud preempts the machine
    std::vector<TaskStatus> tasks;     ///< all that the worker holds
};

/// Throws DecodeError.
WorkerHeartbeat decode_worker_heartbeat(Value body);
std::string encode(const WorkerHeartbeat& heartbeat);

/// What a worker is told to do with a task. `clear` lets it forget one that has exited.
enum class CommandKind : std::uint8_t { start, stop, clear };

/// A command for one attempt of a task.
struct TaskCommand {
    CommandKind kind = CommandKind::start;
    TaskRef task;
    Attempt attempt;
    double grace_s = 0;  ///< of `stop`: seconds in which the task may save a checkpoint
};

/// The response to a worker's heartbeat: the leader's fencing token and commands.
std::string encode_heartbeat_reply(FencingToken token, const std::vector<TaskCommand>& commands);

/// A direct command. The worker refuses it if the token is older than one that it has seen, or if
/// it is meant for another agent epoch.
std::string encode_commands(FencingToken token, std::uint64_t agent_epoch,
                            const std::vector<TaskCommand>& commands);

/// A direct command, or the response to a heartbeat, as a worker reads it.
struct CommandBatch {
    FencingToken token;
    std::optional<std::uint64_t> agent_epoch;  ///< absent in the response to a heartbeat
    std::vector<TaskCommand> commands;
};

/// Throws DecodeError.
CommandBatch decode_commands(Value body);

/// Body of a redirect that names the leader.
std::string encode_redirect(const std::string& leader);

/// Body of a refusal.
std::string encode_error(std::string_view error);

}  // namespace dunebridge::wire
