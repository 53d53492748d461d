#include "state/record_codec.hpp"

#include <algorithm>
#include <limits>
#include <map>

#include "config/record_format.hpp"
#include "kv/keys.hpp"

namespace dunebridge::state {

using wire::DecodeError;
using wire::Writer;

namespace {

// A set of tasks as text: values may hold no binary data.
template <class Contains>
std::string to_hex(std::uint32_t from, std::uint32_t to, Contains contains) {
    constexpr const char* digits = "0123456789abcdef";
    std::string out;
    for (std::uint32_t i = from; i < to; i += kTasksPerDigit) {
        unsigned digit = 0;
        for (std::uint32_t bit = 0; bit < kTasksPerDigit && i + bit < to; ++bit) {
            digit |= contains(i + bit) ? 1u << bit : 0u;
        }
        out += digits[digit];
    }
    while (!out.empty() && out.back() == '0') out.pop_back();
    return out;
}

std::vector<std::uint32_t> from_hex(std::string_view hex, std::uint32_t from) {
    std::vector<std::uint32_t> out;
    for (std::size_t d = 0; d < hex.size(); ++d) {
        const char c = hex[d];
        const unsigned digit =
            c <= '9' ? static_cast<unsigned>(c - '0') : static_cast<unsigned>(c - 'a') + 10u;
        for (std::uint32_t bit = 0; bit < kTasksPerDigit; ++bit) {
            if ((digit >> bit & 1u) == 0) continue;
            out.push_back(from + static_cast<std::uint32_t>(d) * kTasksPerDigit + bit);
        }
    }
    return out;
}

void require_chunk_format(wire::Value record) {
    if (record["v"].count() != config::kChunkFormat)
        throw DecodeError(wire::DecodeProblem::unknown_version);
}

JobId job_of_key(const std::string& key) {
    const auto slash = key.rfind('/');
    const auto start = std::string_view(kv::kProgressPrefix).size();
    if (slash == std::string::npos || slash <= start) throw DecodeError("key");
    return JobId(key.substr(start, slash - start));
}

// [host, index, attempt, index, attempt, ...], both relative to the record's own.
void decode_host(wire::Value entry, std::uint64_t base, ProgressRecord& record) {
    if (entry.size() < 1) throw DecodeError("tasks");
    const MachineName host(entry.at(0).need_text("host"));
    for (std::size_t i = 1; i + 1 < entry.size(); i += 2) {
        const auto index = entry.at(i).need_count("index");
        if (index >= record.size) throw DecodeError("index");
        record.placed.push_back({record.from + static_cast<std::uint32_t>(index), host,
                                 Attempt(base + entry.at(i + 1).need_count("try"))});
    }
}

}  // namespace

std::string chunk_key(const JobId& id, std::uint32_t chunk) {
    return kv::kProgressPrefix + id.get() + "/" + std::to_string(chunk);
}

std::string range_key(const JobId& id, std::uint32_t from, std::uint32_t size) {
    return kv::kProgressPrefix + id.get() + "/t" + std::to_string(from) + "+" +
           std::to_string(size);
}

kv::PackedRecord encode_progress(const Job& job, const TaskRange& range) {
    const auto from = range.from;
    const auto to = std::min(from + range.size, static_cast<std::uint32_t>(job.tasks.size()));
    const bool chunk = range.key == chunk_key(job.spec.id, from / kTasksPerChunk);
    std::map<std::string_view, std::vector<const Placement*>> by_host;
    std::uint64_t base = std::numeric_limits<std::uint64_t>::max();
    for (auto i = from; i < to; ++i) {
        const auto* p = job.tasks[i].at;
        if (!p) continue;
        by_host[p->machine->host.get()].push_back(p);
        base = std::min(base, p->attempt.get());
    }
    if (by_host.empty()) base = 0;
    Writer w;
    w.map(chunk ? 6 : 7);
    w.text("v").count(chunk ? config::kChunkFormat : config::kRangeFormat);
    w.text("from").count(from);
    if (!chunk) w.text("size").count(range.size);
    w.text("done").text(to_hex(from, to, [&](std::uint32_t i) { return job.tasks[i].done; }));
    w.text("shielded").text(to_hex(from, to, [&](std::uint32_t i) {
        return job.tasks[i].preemption_protected;
    }));
    w.text("base").count(base).text("tasks").list(by_host.size());
    for (const auto& [host, placements] : by_host) {
        w.list(1 + 2 * placements.size()).text(host);
        for (const auto* p : placements) w.count(p->index - from).count(p->attempt.get() - base);
    }
    return {w.take(), w.json_size()};
}

ProgressRecord decode_progress(const kv::Row& row, std::uint64_t newest_format) {
    const auto& value = row.value;
    ProgressRecord record;
    record.job = job_of_key(row.key);
    record.from = static_cast<std::uint32_t>(value["from"].need_count("from"));
    const bool range =
        value["v"].count() == config::kRangeFormat && newest_format >= config::kRangeFormat;
    if (!range) require_chunk_format(value);
    record.size =
        range ? static_cast<std::uint32_t>(value["size"].need_count("size")) : kTasksPerChunk;
    if (record.size == 0 || record.size > kTasksPerChunk) throw DecodeError("size");
    record.done = from_hex(value["done"].need_text("done"), record.from);
    record.preemption_protected = from_hex(value["shielded"].need_text("shielded"), record.from);
    const auto base = value["base"].need_count("base");
    const auto hosts = value["tasks"];
    for (std::size_t h = 0; h < hosts.size(); ++h) decode_host(hosts.at(h), base, record);
    return record;
}

kv::PackedRecord encode_scale_out(const ScaleOutRecord& rental) {
    const auto& request = rental.request;
    Writer w;
    w.map(rental.answered ? 7 : 6).text("v").count(config::kChunkFormat);
    w.text("claim").text(request.idempotency_key);
    w.text("shape").text(request.machine_type);
    w.text("region").text(request.zone);
    w.text("reclaimable").boolean(request.spot);
    w.text("how_many").count(request.how_many);
    if (rental.answered) {
        w.text("hosts").list(rental.hosts.size());
        for (const auto& host : rental.hosts) w.text(host.get());
    }
    return {w.take(), w.json_size()};
}

ScaleOutRecord decode_scale_out_record(wire::Value value) {
    require_chunk_format(value);
    ScaleOutRecord rental;
    rental.request = wire::decode_scale_out_request(value);
    rental.answered = value["hosts"].is_list();
    if (!rental.answered) return rental;
    for (auto& host : wire::decode_hosts(value)) rental.hosts.insert(std::move(host));
    return rental;
}

kv::PackedRecord encode_format_mark(std::uint64_t format) {
    Writer w;
    w.map(1).text("v").count(format);
    return {w.take(), w.json_size()};
}

std::uint64_t decode_format_mark(wire::Value value, std::uint64_t newest_format) {
    const auto format = value["v"].need_count("v");
    if (format < config::kRangeFormat || format > newest_format) {
        throw DecodeError(wire::DecodeProblem::unknown_version);
    }
    return format;
}

}  // namespace dunebridge::state
