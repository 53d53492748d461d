/// \file
/// Messages between controllers and workers, and the bodies of redirects and error responses.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/types.hpp"
#include "wire/codec.hpp"

namespace dunebridge::wire {

/// Phase of a task on its worker. `other` stands for phases that this version does not know.
enum class TaskPhase : std::uint8_t { fetching, running, saving, exited, other };

/// Reason why a task has exited. `other` stands for reasons that this version does not know.
enum class ExitReason : std::uint8_t { none, done, stopped, error, full, busy, unknown, other };

/// Status of one task in a worker's heartbeat.
struct TaskStatus {
    TaskRef task;
    Attempt attempt;
    TaskPhase phase = TaskPhase::other;
    ExitReason reason = ExitReason::none;  ///< Set only if the task has exited.
    bool stored = false;                   ///< Whether the task's result or checkpoint is stored.
};

/// A worker's status. It is the body of a heartbeat request, and the response to a direct command.
struct WorkerHeartbeat {
    MachineName host;
    std::string endpoint;
    std::string machine_type;
    std::string zone;
    bool spot = false;
    HeartbeatSequence order;  ///< Tells which of two messages is the newer one.
    FencingToken token;       ///< The highest token that the worker has seen.
    /// Seconds until the cloud preempts the machine; absent if no preemption is announced.
    std::optional<double> eviction_s;
    std::vector<TaskStatus> tasks;  ///< All tasks that the worker knows, including exited ones.
};

/// Decodes a worker's heartbeat. Throws DecodeError.
WorkerHeartbeat decode_worker_heartbeat(Value body);
std::string encode(const WorkerHeartbeat& heartbeat);

/// What a worker must do with a task. `clear` makes it discard the status of a task that has
/// exited.
enum class CommandKind : std::uint8_t { start, stop, clear };

/// A command for one attempt of a task.
struct TaskCommand {
    CommandKind kind = CommandKind::start;
    TaskRef task;
    Attempt attempt;
    double grace_s = 0;  ///< Only for `stop`: time that the task has to save a checkpoint.
};

/// Encodes the response to a worker's heartbeat: the leader's fencing token and its commands.
std::string encode_heartbeat_reply(FencingToken token, const std::vector<TaskCommand>& commands);

/// Encodes a direct command: a request that the controller sends to the worker. The worker refuses
/// it if the token is lower than one that it has seen, or if the agent epoch is not its own.
std::string encode_commands(FencingToken token, std::uint64_t agent_epoch,
                            const std::vector<TaskCommand>& commands);

/// A direct command or the response to a heartbeat, as the worker decodes it.
struct CommandBatch {
    FencingToken token;
    std::optional<std::uint64_t> agent_epoch;  ///< Absent in the response to a heartbeat.
    std::vector<TaskCommand> commands;
};

/// Decodes a direct command or the response to a heartbeat. Throws DecodeError.
CommandBatch decode_commands(Value body);

/// Encodes the body of a redirect, which names the leader.
std::string encode_redirect(const std::string& leader);

/// Encodes the body of an error response.
std::string encode_error(std::string_view error);

}  // namespace dunebridge::wire
