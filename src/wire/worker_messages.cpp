#include "wire/worker_messages.hpp"

#include <charconv>

#include "wire/field_helpers.hpp"

namespace dunebridge::wire {

namespace {

constexpr Names<TaskPhase, 4> kTaskPhases{{{"fetching", TaskPhase::fetching},
                                           {"running", TaskPhase::running},
                                           {"saving", TaskPhase::saving},
                                           {"exited", TaskPhase::exited}}};
constexpr Names<ExitReason, 6> kExitReasons{{{"done", ExitReason::done},
                                             {"halted", ExitReason::stopped},
                                             {"error", ExitReason::error},
                                             {"full", ExitReason::full},
                                             {"busy", ExitReason::busy},
                                             {"unknown", ExitReason::unknown}}};
constexpr Names<CommandKind, 3> kCommandKinds{
    {{"start", CommandKind::start}, {"halt", CommandKind::stop}, {"clear", CommandKind::clear}}};

TaskRef decode_task_ref(Value v) {
    const std::string s = v.need_text("shard");
    const auto slash = s.rfind('/');
    if (slash == std::string::npos) invalid("shard");
    TaskRef ref{JobId(s.substr(0, slash)), 0};
    const char* end = s.data() + s.size();
    const auto [ptr, ec] = std::from_chars(s.data() + slash + 1, end, ref.index);
    if (ec != std::errc() || ptr != end) invalid("shard");
    return ref;
}

void encode_commands_list(Writer& w, const std::vector<TaskCommand>& commands) {
    w.text("orders").list(commands.size());
    for (const auto& o : commands) {
        w.map(o.kind == CommandKind::stop ? 4 : 3);
        w.text("verb").text(to_name(kCommandKinds, o.kind));
        w.text("shard").text(o.task.str());
        w.text("try").count(o.attempt.get());
        if (o.kind == CommandKind::stop) w.text("drain_s").number(o.grace_s);
    }
}

}  // namespace

WorkerHeartbeat decode_worker_heartbeat(Value body) {
    if (!body.is_map()) throw DecodeError(DecodeProblem::not_a_map);
    WorkerHeartbeat r;
    r.host = MachineName(body["host"].need_text("host"));
    if (r.host.get().empty() || r.host.get().size() > 100 ||
        r.host.get().find_first_of(" /") != std::string::npos) {
        invalid("host");
    }
    r.endpoint = body["endpoint"].need_text("endpoint");
    r.machine_type = body["shape"].need_text("shape");
    r.zone = body["region"].need_text("region");
    r.spot = body["reclaimable"].boolean().value_or(false);
    r.order = {body["tenure"].need_count("tenure"), body["tick"].need_count("tick")};
    r.token = FencingToken(body["epoch"].count().value_or(0));
    r.eviction_s = body["eviction_s"].number();
    const Value task_count = body["shards"];
    for (std::size_t i = 0; i < task_count.size(); ++i) {
        const Value s = task_count.at(i);
        TaskStatus t;
        t.task = decode_task_ref(s["shard"]);
        t.attempt = Attempt(s["try"].need_count("try"));
        t.phase = from_name(kTaskPhases, s["phase"].need_text("phase")).value_or(TaskPhase::other);
        if (const auto reason = s["exit_reason"].text())
            t.reason = from_name(kExitReasons, *reason).value_or(ExitReason::other);
        t.stored = s["stored"].boolean().value_or(false);
        r.tasks.push_back(std::move(t));
    }
    return r;
}

std::string encode(const WorkerHeartbeat& r) {
    Writer w;
    w.map(10);
    w.text("host").text(r.host.get());
    w.text("endpoint").text(r.endpoint);
    w.text("shape").text(r.machine_type);
    w.text("region").text(r.zone);
    w.text("reclaimable").boolean(r.spot);
    w.text("tenure").count(r.order.agent_epoch);
    w.text("tick").count(r.order.sequence);
    w.text("epoch").count(r.token.get());
    w.text("eviction_s");
    r.eviction_s ? w.number(*r.eviction_s) : w.null();
    w.text("shards").list(r.tasks.size());
    for (const auto& t : r.tasks) {
        const bool exited = t.phase == TaskPhase::exited;
        w.map(exited ? 5 : 3);
        w.text("shard").text(t.task.str());
        w.text("try").count(t.attempt.get());
        w.text("phase").text(to_name(kTaskPhases, t.phase));
        if (exited) {
            w.text("exit_reason").text(to_name(kExitReasons, t.reason));
            w.text("stored").boolean(t.stored);
        }
    }
    return w.take();
}

std::string encode_heartbeat_reply(FencingToken token, const std::vector<TaskCommand>& commands) {
    Writer w;
    w.map(2).text("epoch").count(token.get());
    encode_commands_list(w, commands);
    return w.take();
}

std::string encode_commands(FencingToken token, std::uint64_t agent_epoch,
                            const std::vector<TaskCommand>& commands) {
    Writer w;
    w.map(3).text("epoch").count(token.get()).text("tenure").count(agent_epoch);
    encode_commands_list(w, commands);
    return w.take();
}

CommandBatch decode_commands(Value body) {
    CommandBatch c;
    c.token = FencingToken(body["epoch"].need_count("epoch"));
    c.agent_epoch = body["tenure"].count();
    const Value commands = body["orders"];
    for (std::size_t i = 0; i < commands.size(); ++i) {
        const Value v = commands.at(i);
        const auto kind = from_name(kCommandKinds, v["verb"].need_text("verb"));
        if (!kind) invalid("verb");
        c.commands.push_back({*kind, decode_task_ref(v["shard"]),
                              Attempt(v["try"].need_count("try")),
                              v["drain_s"].number().value_or(0)});
    }
    return c;
}

std::string encode_redirect(const std::string& leader) {
    return Writer().map(1).text("leader").text(leader).take();
}

std::string encode_error(std::string_view error) {
    return Writer().map(1).text("error").text(error).take();
}

}  // namespace dunebridge::wire
