#include "kv/records.hpp"

#include <algorithm>
#include <string_view>

namespace dunebridge::kv {

using wire::Writer;

namespace {

constexpr char kSeparator = ',';
// Upper bound on the bytes of JSON that a dependency part adds to its list of jobs.
constexpr std::size_t kMaxPartOverheadBytes = 64;

// Takes the bytes from the writer.
PackedRecord to_packed_record(Writer& writer) { return {writer.take(), writer.json_size()}; }

// Returns the id without the prefix that it shares with the previous one (front coding), if both
// have the same length; otherwise the whole id. Sorted ids share most of their digits.
std::string_view encode_delta(const JobId& id, const JobId* previous) {
    const std::string_view text = id.get();
    if (!previous || previous->get().size() != text.size()) return text;
    const auto [at, end] = std::mismatch(text.begin(), text.end(), previous->get().begin());
    return text.substr(static_cast<std::size_t>(at - text.begin()));
}

PackedRecord encode_part(std::string_view list, bool direct) {
    Writer writer;
    writer.map(2).text("direct").boolean(direct).text("jobs").text(list);
    return to_packed_record(writer);
}

// Decodes an entry written by encode_delta(); `before` holds the jobs decoded so far.
JobId decode_delta(std::string_view text, const std::vector<JobId>& before) {
    if (text.empty()) throw wire::DecodeError("jobs");
    std::string id(text);
    if (!before.empty() && !text.starts_with("req-")) {
        const auto& previous = before.back().get();
        if (text.size() > previous.size()) throw wire::DecodeError("jobs");
        id = previous.substr(0, previous.size() - text.size()) + id;
    }
    if (!wire::valid_job_id(id)) throw wire::DecodeError("jobs");
    return JobId(std::move(id));
}

}  // namespace

PackedRecord encode(const TerminalRecord& record) {
    Writer writer;
    writer.map(record.task_count ? 3 : 2).text("phase").text(wire::name_of(record.phase));
    if (record.task_count) writer.text("shards").count(*record.task_count);
    writer.text("at").count(static_cast<std::uint64_t>(record.ended_ms));
    return to_packed_record(writer);
}

TerminalRecord decode_terminal_record(wire::Value value) {
    TerminalRecord record;
    const bool done = value["phase"].text() == wire::name_of(wire::JobPhase::done);
    record.phase = done ? wire::JobPhase::done : wire::JobPhase::cancelled;
    record.task_count = value["shards"].count();
    record.ended_ms = static_cast<std::int64_t>(value["at"].count().value_or(0));
    return record;
}

JobRecord decode_job_record(wire::Value value) {
    JobRecord job;
    job.submitted_ms = static_cast<std::int64_t>(value["at"].need_count("at"));
    job.spec = wire::decode_job(value["spec"]);
    if (!value["before"].is_null()) job.ancestors = wire::decode_job_ids(value["before"], "before");
    if (!value["parts"].is_null()) job.dependency_parts = value["parts"].need_count("parts");
    return job;
}

PackedRecord encode(const JobRecord& record) {
    Writer writer;
    const std::size_t fields =
        2 + (record.ancestors.empty() ? 0 : 1) + (record.dependency_parts ? 1 : 0);
    writer.map(fields).text("at").count(static_cast<std::uint64_t>(record.submitted_ms));
    if (!record.ancestors.empty()) {
        writer.text("before");
        wire::encode_job_ids(writer, record.ancestors);
    }
    if (record.dependency_parts > 0) writer.text("parts").count(record.dependency_parts);
    writer.text("spec");
    wire::encode_job(writer, record.spec);
    return to_packed_record(writer);
}

DependencyPart decode_dependency_part(wire::Value value) {
    DependencyPart part;
    part.direct = value["direct"].need_bool("direct");
    const auto text = value["jobs"].need_text("jobs");
    std::string_view list = text;
    while (!list.empty()) {
        const auto end = std::min(list.find(kSeparator), list.size());
        part.jobs.push_back(decode_delta(list.substr(0, end), part.jobs));
        list.remove_prefix(std::min(end + 1, list.size()));
    }
    return part;
}

std::vector<PackedRecord> encode_dependency_parts(const std::vector<JobId>& jobs, bool direct,
                                                  std::size_t max_json_size) {
    std::vector<PackedRecord> parts;
    std::string list;
    const JobId* previous = nullptr;
    for (const auto& job : jobs) {
        auto entry = encode_delta(job, previous);
        if (previous && list.size() + entry.size() + kMaxPartOverheadBytes > max_json_size) {
            parts.push_back(encode_part(list, direct));
            list.clear();
            entry = job.get();
        }
        if (!list.empty()) list += kSeparator;
        list += entry;
        previous = &job;
    }
    if (!list.empty()) parts.push_back(encode_part(list, direct));
    return parts;
}

}  // namespace dunebridge::kv
