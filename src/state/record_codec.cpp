#include "state/record_codec.hpp"

#include <algorithm>
#include <limits>
#include <map>
#include <string_view>

#include "config/record_format.hpp"
#include "kv/keys.hpp"
#include "state/machine.hpp"
#include "state/placement.hpp"

namespace dunebridge::state {

using wire::DecodeError;
using wire::Writer;

namespace {

// ---- sets of tasks: bit sets in hexadecimal, because values must not contain binary data ----

template <class Contains>
std::string encode_task_set(std::uint32_t begin, std::uint32_t end, Contains contains) {
    constexpr const char* digits = "0123456789abcdef";
    std::string text;
    for (std::uint32_t index = begin; index < end; index += kTasksPerHexDigit) {
        unsigned digit = 0;
        for (std::uint32_t bit = 0; bit < kTasksPerHexDigit && index + bit < end; ++bit) {
            if (contains(index + bit)) digit |= 1u << bit;
        }
        text += digits[digit];
    }
    while (!text.empty() && text.back() == '0') text.pop_back();
    return text;
}

unsigned hex_digit_value(char digit) {
    return digit <= '9' ? static_cast<unsigned>(digit - '0')
                        : static_cast<unsigned>(digit - 'a') + 10u;
}

std::vector<std::uint32_t> decode_task_set(std::string_view text, std::uint32_t first_task) {
    std::vector<std::uint32_t> tasks;
    auto index = first_task;
    for (const char c : text) {
        const auto digit = hex_digit_value(c);
        for (std::uint32_t bit = 0; bit < kTasksPerHexDigit; ++bit) {
            if ((digit >> bit & 1u) != 0) tasks.push_back(index + bit);
        }
        index += kTasksPerHexDigit;
    }
    return tasks;
}

// ---- placements: [machine, index, attempt, index, attempt, ...], one list for each machine ----

// Encoded indices are relative to the record's first task, attempts to the lowest in the record.
struct PlacementsByMachine {
    std::map<std::string_view, std::vector<const Placement*>> machines;
    std::uint64_t lowest_attempt = 0;
};

PlacementsByMachine group_placements(const Job& job, std::uint32_t begin, std::uint32_t end) {
    PlacementsByMachine result;
    std::uint64_t lowest = std::numeric_limits<std::uint64_t>::max();
    for (auto index = begin; index < end; ++index) {
        const auto* placement = job.tasks[index].placement;
        if (!placement) continue;
        result.machines[placement->machine->host.get()].push_back(placement);
        lowest = std::min(lowest, placement->attempt.get());
    }
    if (!result.machines.empty()) result.lowest_attempt = lowest;
    return result;
}

void write_placements(const PlacementsByMachine& placements, std::uint32_t first_task,
                      Writer& writer) {
    writer.text("base").count(placements.lowest_attempt);
    writer.text("tasks").list(placements.machines.size());
    for (const auto& [machine, machine_placements] : placements.machines) {
        writer.list(1 + 2 * machine_placements.size()).text(machine);
        for (const auto* placement : machine_placements) {
            writer.count(placement->index - first_task);
            writer.count(placement->attempt.get() - placements.lowest_attempt);
        }
    }
}

void read_machine_placements(wire::Value entry, std::uint64_t lowest_attempt,
                             ProgressRecord& record) {
    if (entry.size() < 1) throw DecodeError("tasks");
    const MachineName machine(entry.at(0).need_text("host"));
    for (std::size_t i = 1; i + 1 < entry.size(); i += 2) {
        const auto index = entry.at(i).need_count("index");
        if (index >= record.size) throw DecodeError("index");
        const Attempt attempt(lowest_attempt + entry.at(i + 1).need_count("try"));
        record.placements.push_back(
            {record.from + static_cast<std::uint32_t>(index), machine, attempt});
    }
}

// ---- versions and keys ----

void require_chunk_format(wire::Value record) {
    if (record["v"].count() != config::kChunkFormat) {
        throw DecodeError(wire::DecodeProblem::unknown_version);
    }
}

JobId job_id_of_progress_key(const std::string& key) {
    const auto slash = key.rfind('/');
    const auto start = std::string_view(kv::kProgressPrefix).size();
    if (slash == std::string::npos || slash <= start) throw DecodeError("key");
    return JobId(key.substr(start, slash - start));
}

}  // namespace

std::string chunk_key(const JobId& id, std::uint32_t chunk) {
    return kv::kProgressPrefix + id.get() + "/" + std::to_string(chunk);
}

std::string task_range_key(const JobId& id, std::uint32_t from, std::uint32_t size) {
    return kv::kProgressPrefix + id.get() + "/t" + std::to_string(from) + "+" +
           std::to_string(size);
}

kv::PackedRecord encode_progress(const Job& job, const TaskRange& range) {
    const auto begin = range.from;
    const auto end = std::min(begin + range.size, static_cast<std::uint32_t>(job.tasks.size()));
    const bool is_chunk = range.key == chunk_key(job.spec.id, begin / kTasksPerChunk);
    Writer writer;
    writer.map(is_chunk ? 6 : 7);
    writer.text("v").count(is_chunk ? config::kChunkFormat : config::kRangeFormat);
    writer.text("from").count(begin);
    if (!is_chunk) writer.text("size").count(range.size);
    const auto is_done = [&job](std::uint32_t index) { return job.tasks[index].done; };
    writer.text("done").text(encode_task_set(begin, end, is_done));
    const auto is_protected = [&job](std::uint32_t index) {
        return job.tasks[index].preemption_protected;
    };
    writer.text("shielded").text(encode_task_set(begin, end, is_protected));
    write_placements(group_placements(job, begin, end), begin, writer);
    return {writer.take(), writer.json_size()};
}

ProgressRecord decode_progress(const kv::Entry& entry, std::uint64_t newest_format) {
    const auto& value = entry.value;
    ProgressRecord record;
    record.job = job_id_of_progress_key(entry.key);
    record.from = static_cast<std::uint32_t>(value["from"].need_count("from"));
    const bool is_range =
        value["v"].count() == config::kRangeFormat && newest_format >= config::kRangeFormat;
    if (!is_range) require_chunk_format(value);
    record.size =
        is_range ? static_cast<std::uint32_t>(value["size"].need_count("size")) : kTasksPerChunk;
    if (record.size == 0 || record.size > kTasksPerChunk) throw DecodeError("size");
    record.done = decode_task_set(value["done"].need_text("done"), record.from);
    record.preemption_protected =
        decode_task_set(value["shielded"].need_text("shielded"), record.from);
    const auto lowest_attempt = value["base"].need_count("base");
    const auto machines = value["tasks"];
    for (std::size_t i = 0; i < machines.size(); ++i) {
        read_machine_placements(machines.at(i), lowest_attempt, record);
    }
    return record;
}

kv::PackedRecord encode_scale_out(const ScaleOutRecord& scale_out) {
    const auto& request = scale_out.request;
    Writer writer;
    writer.map(scale_out.answered ? 7 : 6).text("v").count(config::kChunkFormat);
    writer.text("claim").text(request.idempotency_key);
    writer.text("shape").text(request.machine_type);
    writer.text("region").text(request.zone);
    writer.text("reclaimable").boolean(request.spot);
    writer.text("how_many").count(request.machine_count);
    if (scale_out.answered) {
        writer.text("hosts").list(scale_out.hosts.size());
        for (const auto& host : scale_out.hosts) writer.text(host.get());
    }
    return {writer.take(), writer.json_size()};
}

ScaleOutRecord decode_scale_out_record(wire::Value value) {
    require_chunk_format(value);
    ScaleOutRecord scale_out;
    scale_out.request = wire::decode_scale_out_request(value);
    scale_out.answered = value["hosts"].is_list();
    if (!scale_out.answered) return scale_out;
    for (auto& host : wire::decode_hosts(value)) scale_out.hosts.insert(std::move(host));
    return scale_out;
}

kv::PackedRecord encode_format_mark(std::uint64_t record_format) {
    Writer writer;
    writer.map(1).text("v").count(record_format);
    return {writer.take(), writer.json_size()};
}

std::uint64_t decode_format_mark(wire::Value value, std::uint64_t newest_format) {
    const auto record_format = value["v"].need_count("v");
    if (record_format < config::kRangeFormat || record_format > newest_format) {
        throw DecodeError(wire::DecodeProblem::unknown_version);
    }
    return record_format;
}

}  // namespace dunebridge::state
