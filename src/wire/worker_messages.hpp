// Messages between the controllers and the workers, and the answers that carry no more than a
// reason.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/types.hpp"
#include "wire/codec.hpp"

namespace dunebridge::wire {

enum class TaskPhase : std::uint8_t { fetching, running, saving, exited, other };
enum class ExitReason : std::uint8_t { none, done, stopped, error, full, busy, unknown, other };

struct TaskStatus {
    TaskRef task;
    Attempt attempt;
    TaskPhase phase = TaskPhase::other;
    ExitReason reason = ExitReason::none;
    bool stored = false;
};

// A worker's report: the body of /checkin and the answer of /commands and /inspect.
struct WorkerHeartbeat {
    MachineName host;
    std::string endpoint;
    std::string machine_type;
    std::string zone;
    bool spot = false;
    HeartbeatSequence order;
    FencingToken token;
    std::optional<double> eviction_s;
    std::vector<TaskStatus> tasks;
};
WorkerHeartbeat decode_worker_heartbeat(Value body);
std::string encode(const WorkerHeartbeat& heartbeat);

enum class CommandKind : std::uint8_t { start, stop, clear };
struct TaskCommand {
    CommandKind kind = CommandKind::start;
    TaskRef task;
    Attempt attempt;
    double grace_s = 0;
};
std::string encode_heartbeat_reply(FencingToken token, const std::vector<TaskCommand>& commands);
std::string encode_commands(FencingToken token, std::uint64_t agent_epoch,
                            const std::vector<TaskCommand>& commands);
struct CommandBatch {
    FencingToken token;
    std::optional<std::uint64_t> agent_epoch;
    std::vector<TaskCommand> commands;
};
CommandBatch decode_commands(Value body);

std::string encode_redirect(const std::string& leader);
std::string encode_error(std::string_view error);

}  // namespace dunebridge::wire
