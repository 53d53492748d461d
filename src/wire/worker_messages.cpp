#include "wire/worker_messages.hpp"

#include <charconv>
#include <utility>

#include "wire/field_helpers.hpp"

namespace dunebridge::wire {

namespace {

constexpr EnumNames<TaskPhase, 4> kTaskPhases{{{"fetching", TaskPhase::fetching},
                                               {"running", TaskPhase::running},
                                               {"saving", TaskPhase::saving},
                                               {"exited", TaskPhase::exited}}};
constexpr EnumNames<ExitReason, 6> kExitReasons{{{"done", ExitReason::done},
                                                 {"halted", ExitReason::stopped},
                                                 {"error", ExitReason::error},
                                                 {"full", ExitReason::full},
                                                 {"busy", ExitReason::busy},
                                                 {"unknown", ExitReason::unknown}}};
constexpr EnumNames<CommandKind, 3> kCommandKinds{
    {{"start", CommandKind::start}, {"halt", CommandKind::stop}, {"clear", CommandKind::clear}}};

TaskRef decode_task_ref(Value value) {
    const std::string text = value.need_text("shard");
    const auto slash = text.rfind('/');
    if (slash == std::string::npos) throw_invalid_field("shard");
    TaskRef ref{JobId(text.substr(0, slash)), 0};
    const char* end = text.data() + text.size();
    const auto [ptr, ec] = std::from_chars(text.data() + slash + 1, end, ref.index);
    if (ec != std::errc() || ptr != end) throw_invalid_field("shard");
    return ref;
}

constexpr std::size_t kMaxMachineNameBytes = 100;

MachineName decode_machine_name(Value body) {
    auto name = body["host"].need_text("host");
    const bool separators = name.find_first_of(" /") != std::string::npos;
    if (name.empty() || name.size() > kMaxMachineNameBytes || separators)
        throw_invalid_field("host");
    return MachineName(std::move(name));
}

TaskStatus decode_task_status(Value value) {
    TaskStatus status;
    status.task = decode_task_ref(value["shard"]);
    status.attempt = Attempt(value["try"].need_count("try"));
    const auto phase = value["phase"].need_text("phase");
    status.phase = from_name(kTaskPhases, phase).value_or(TaskPhase::other);
    if (const auto reason = value["exit_reason"].text()) {
        status.reason = from_name(kExitReasons, *reason).value_or(ExitReason::other);
    }
    status.stored = value["stored"].boolean().value_or(false);
    return status;
}

void encode_task_status(Writer& writer, const TaskStatus& status) {
    const bool exited = status.phase == TaskPhase::exited;
    writer.map(exited ? 5 : 3);
    writer.text("shard").text(status.task.str());
    writer.text("try").count(status.attempt.get());
    writer.text("phase").text(to_name(kTaskPhases, status.phase));
    if (!exited) return;
    writer.text("exit_reason").text(to_name(kExitReasons, status.reason));
    writer.text("stored").boolean(status.stored);
}

void encode_command_list(Writer& writer, const std::vector<TaskCommand>& commands) {
    writer.text("orders").list(commands.size());
    for (const auto& command : commands) {
        const bool stop = command.kind == CommandKind::stop;
        writer.map(stop ? 4 : 3);
        writer.text("verb").text(to_name(kCommandKinds, command.kind));
        writer.text("shard").text(command.task.str());
        writer.text("try").count(command.attempt.get());
        if (stop) writer.text("drain_s").number(command.grace_s);
    }
}

}  // namespace

WorkerHeartbeat decode_worker_heartbeat(Value body) {
    if (!body.is_map()) throw DecodeError(DecodeProblem::not_a_map);
    WorkerHeartbeat heartbeat;
    heartbeat.host = decode_machine_name(body);
    heartbeat.endpoint = body["endpoint"].need_text("endpoint");
    heartbeat.machine_type = body["shape"].need_text("shape");
    heartbeat.zone = body["region"].need_text("region");
    heartbeat.spot = body["reclaimable"].boolean().value_or(false);
    heartbeat.order = {body["tenure"].need_count("tenure"), body["tick"].need_count("tick")};
    heartbeat.token = FencingToken(body["epoch"].count().value_or(0));
    heartbeat.eviction_s = body["eviction_s"].number();
    const Value tasks = body["shards"];
    for (std::size_t i = 0; i < tasks.size(); ++i) {
        heartbeat.tasks.push_back(decode_task_status(tasks.at(i)));
    }
    return heartbeat;
}

std::string encode(const WorkerHeartbeat& heartbeat) {
    constexpr std::size_t fields = 10;
    Writer writer;
    writer.map(fields);
    writer.text("host").text(heartbeat.host.get());
    writer.text("endpoint").text(heartbeat.endpoint);
    writer.text("shape").text(heartbeat.machine_type);
    writer.text("region").text(heartbeat.zone);
    writer.text("reclaimable").boolean(heartbeat.spot);
    writer.text("tenure").count(heartbeat.order.agent_epoch);
    writer.text("tick").count(heartbeat.order.sequence);
    writer.text("epoch").count(heartbeat.token.get());
    writer.text("eviction_s");
    if (heartbeat.eviction_s) {
        writer.number(*heartbeat.eviction_s);
    } else {
        writer.null();
    }
    writer.text("shards").list(heartbeat.tasks.size());
    for (const auto& task : heartbeat.tasks) encode_task_status(writer, task);
    return writer.take();
}

std::string encode_heartbeat_reply(FencingToken token, const std::vector<TaskCommand>& commands) {
    Writer writer;
    writer.map(2).text("epoch").count(token.get());
    encode_command_list(writer, commands);
    return writer.take();
}

std::string encode_commands(FencingToken token, std::uint64_t agent_epoch,
                            const std::vector<TaskCommand>& commands) {
    Writer writer;
    writer.map(3).text("epoch").count(token.get()).text("tenure").count(agent_epoch);
    encode_command_list(writer, commands);
    return writer.take();
}

CommandBatch decode_commands(Value body) {
    CommandBatch batch;
    batch.token = FencingToken(body["epoch"].need_count("epoch"));
    batch.agent_epoch = body["tenure"].count();
    const Value commands = body["orders"];
    for (std::size_t i = 0; i < commands.size(); ++i) {
        const Value value = commands.at(i);
        const auto kind = from_name(kCommandKinds, value["verb"].need_text("verb"));
        if (!kind) throw_invalid_field("verb");
        batch.commands.push_back({*kind, decode_task_ref(value["shard"]),
                                  Attempt(value["try"].need_count("try")),
                                  value["drain_s"].number().value_or(0)});
    }
    return batch;
}

std::string encode_redirect(const std::string& leader) {
    return Writer().map(1).text("leader").text(leader).take();
}

std::string encode_error(std::string_view error) {
    return Writer().map(1).text("error").text(error).take();
}

}  // namespace dunebridge::wire
