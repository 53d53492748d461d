#include "wire/job_messages.hpp"

#include <algorithm>

#include "wire/field_helpers.hpp"

namespace dunebridge::wire {

namespace {

constexpr std::uint32_t kMaxTasks = 100000;
// Longer ids would not fit in a key of the key-value store, and no user sends any that long.
constexpr std::size_t kMaxJobIdBytes = 64;
// Limit for the names of job classes, teams and images.
constexpr std::size_t kMaxNameBytes = 200;

constexpr EnumNames<Priority, 4> kPriorities{{{"prod", Priority::prod},
                                              {"urgent", Priority::urgent},
                                              {"standard", Priority::standard},
                                              {"idle", Priority::idle}}};
constexpr EnumNames<JobPhase, 4> kJobPhases{{{"pending", JobPhase::pending},
                                             {"running", JobPhase::running},
                                             {"done", JobPhase::done},
                                             {"withdrawn", JobPhase::cancelled}}};

void decode_class_team_priority(Value body, JobSpec& job) {
    job.job_class = body["jobclass"].need_text("jobclass");
    job.team = body["owner"].need_text("owner");
    if (job.job_class.size() > kMaxNameBytes) throw_invalid_field("jobclass");
    if (job.team.size() > kMaxNameBytes) throw_invalid_field("owner");
    if (body["jobkind"].need_text("jobkind") != "array") throw_invalid_field("jobkind");
    const auto priority = from_name(kPriorities, body["urgency"].need_text("urgency"));
    if (!priority) throw_invalid_field("urgency");
    job.priority = *priority;
}

void decode_task_requirements(Value body, JobSpec& job) {
    const auto task_count = body["shards"].need_count("shards");
    if (task_count < 1 || task_count > kMaxTasks) throw_invalid_field("shards");
    job.task_count = static_cast<std::uint32_t>(task_count);
    job.cores = need_amount(body["cores"], "cores");
    job.accelerators = need_amount(body["accelerators"], "accelerators");
    job.ram_gb = need_amount(body["ram_gb"], "ram_gb");
    job.image = body["bundle"].need_text("bundle");
    if (job.image.size() > kMaxNameBytes) throw_invalid_field("bundle");
    job.image_gb = need_amount(body["size_gb"], "size_gb");
}

void decode_constraints(Value body, JobSpec& job) {
    if (!body["shapes"].is_null()) job.machine_types = need_text_list(body["shapes"], "shapes");
    if (!body["region"].is_null()) job.zone = body["region"].need_text("region");
    job.single_zone = body["together"].need_bool("together");
    job.spread_zones = body["apart"].need_bool("apart");
    job.spot_allowed = body["reclaimable"].need_bool("reclaimable");
}

void decode_times(Value body, JobSpec& job) {
    job.expected_run_time_s = need_amount(body["expected_s"], "expected_s");
    job.checkpoint_interval_s = need_amount(body["snapshot_every_s"], "snapshot_every_s");
    job.checkpoint_duration_s = need_amount(body["snapshot_s"], "snapshot_s");
    if (!body["due_s"].is_null()) job.deadline_s = need_amount(body["due_s"], "due_s");
}

}  // namespace

std::vector<JobId> decode_job_ids(Value list, const char* field) {
    std::vector<JobId> out;
    for (auto& id : need_text_list(list, field)) {
        if (!valid_job_id(id)) throw_invalid_field(field);
        out.emplace_back(std::move(id));
    }
    std::sort(out.begin(), out.end());
    out.erase(std::unique(out.begin(), out.end()), out.end());
    return out;
}

void encode_job_ids(Writer& writer, const std::vector<JobId>& ids) {
    writer.list(ids.size());
    for (const auto& id : ids) writer.text(id.get());
}

bool valid_job_id(std::string_view id) {
    constexpr std::string_view prefix = "req-";
    if (id.size() <= prefix.size() || id.size() > kMaxJobIdBytes || !id.starts_with(prefix))
        return false;
    id.remove_prefix(prefix.size());
    return std::all_of(id.begin(), id.end(), [](char c) { return c >= '0' && c <= '9'; });
}

std::optional<JobId> peek_job_id(Value body) {
    const auto id = body["name_id"].text();
    if (!id || !valid_job_id(*id)) return std::nullopt;
    return JobId(std::string(*id));
}

JobSpec decode_job(Value body) {
    if (!body.is_map()) throw DecodeError(DecodeProblem::not_a_map);
    JobSpec job;
    const auto id = peek_job_id(body);
    if (!id) throw_invalid_field("name_id");
    job.id = *id;
    decode_class_team_priority(body, job);
    decode_task_requirements(body, job);
    decode_constraints(body, job);
    decode_times(body, job);
    if (!body["waits_on"].is_null())
        job.dependencies = decode_job_ids(body["waits_on"], "waits_on");
    return job;
}

void encode_job(Writer& writer, const JobSpec& job) {
    writer.map(job.dependencies.empty() ? 20 : 21);
    writer.text("name_id").text(job.id.get());
    writer.text("jobclass").text(job.job_class);
    writer.text("owner").text(job.team);
    writer.text("jobkind").text("array");
    writer.text("urgency").text(to_name(kPriorities, job.priority));
    writer.text("shards").count(job.task_count);
    writer.text("cores").number(job.cores);
    writer.text("accelerators").number(job.accelerators);
    writer.text("ram_gb").number(job.ram_gb);
    writer.text("bundle").text(job.image);
    writer.text("size_gb").number(job.image_gb);
    writer.text("shapes");
    if (job.machine_types) {
        writer.list(job.machine_types->size());
        for (const auto& type : *job.machine_types) writer.text(type);
    } else {
        writer.null();
    }
    writer.text("region");
    if (job.zone) {
        writer.text(*job.zone);
    } else {
        writer.null();
    }
    writer.text("together").boolean(job.single_zone);
    writer.text("apart").boolean(job.spread_zones);
    writer.text("reclaimable").boolean(job.spot_allowed);
    writer.text("expected_s").number(job.expected_run_time_s);
    writer.text("snapshot_every_s").number(job.checkpoint_interval_s);
    writer.text("snapshot_s").number(job.checkpoint_duration_s);
    writer.text("due_s");
    if (job.deadline_s) {
        writer.number(*job.deadline_s);
    } else {
        writer.null();
    }
    if (job.dependencies.empty()) return;
    writer.text("waits_on");
    encode_job_ids(writer, job.dependencies);
}

std::string_view name_of(JobPhase phase) { return to_name(kJobPhases, phase); }

std::string encode(const JobStatus& status) {
    Writer writer;
    writer.map(4);
    writer.text("name_id").text(status.id.get());
    writer.text("phase").text(name_of(status.phase));
    writer.text("done").count(status.done);
    writer.text("running").count(status.running);
    return writer.take();
}

}  // namespace dunebridge::wire
