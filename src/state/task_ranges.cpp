#include "state/task_ranges.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

#include "config/record_format.hpp"
#include "kv/keys.hpp"
#include "state/record_codec.hpp"

namespace dunebridge::state {

namespace {

TaskRange make_range(const Job& job, std::uint32_t from, std::uint32_t size) {
    return {from, size, task_range_key(job.spec.id, from, size)};
}

// Returns the range in which a task is put if none covers it yet.
TaskRange default_range(const Job& job, std::uint32_t task_index, std::uint64_t record_format) {
    const auto task_count = static_cast<std::uint32_t>(job.tasks.size());
    const bool has_ranges = record_format >= config::kRangeFormat;
    const auto max_size = has_ranges ? kInitialTasksPerRange : kTasksPerChunk;
    const auto from = task_index / max_size * max_size;
    const auto size = std::min(max_size, task_count - from);
    if (has_ranges) return make_range(job, from, size);
    return {from, size, chunk_key(job.spec.id, from / kTasksPerChunk)};
}

// Appends ranges for the tasks from `begin` to before `end`, which no range covers.
void append_default_ranges(const Job& job, std::uint32_t begin, std::uint32_t end,
                           std::uint64_t record_format, std::vector<TaskRange>& ranges) {
    while (begin < end) {
        auto range = default_range(job, begin, record_format);
        const auto default_end = range.from + range.size;
        const auto range_end = std::min(default_end, end);
        // Existing ranges cover some of its tasks: the new range has only the remaining ones.
        if (range.from != begin || range_end != default_end) {
            range = make_range(job, begin, range_end - begin);
        }
        begin = range_end;
        ranges.push_back(std::move(range));
    }
}

// Divides the range into parts of the given size; the last may be smaller.
std::vector<TaskRange> divide(const Job& job, const TaskRange& range, std::uint32_t size) {
    std::vector<TaskRange> parts;
    const auto end = range.from + range.size;
    for (auto from = range.from; from < end; from += size) {
        parts.push_back(make_range(job, from, std::min(size, end - from)));
    }
    return parts;
}

// Returns the size of a part if the range is divided into at most `parts_wanted` parts. A size of
// at least one hexadecimal digit of the record's task sets is rounded up to whole digits.
std::uint32_t part_size(const TaskRange& range, std::uint32_t parts_wanted) {
    const auto size = std::max<std::uint32_t>(1, (range.size + parts_wanted - 1) / parts_wanted);
    if (size < kTasksPerHexDigit) return size;
    return (size + kTasksPerHexDigit - 1) / kTasksPerHexDigit * kTasksPerHexDigit;
}

template <class Ranges>
auto find_range(Ranges& ranges, const std::string& key) {
    return std::find_if(ranges.begin(), ranges.end(),
                        [&key](const TaskRange& range) { return range.key == key; });
}

}  // namespace

void complete_ranges(Job& job, std::uint64_t record_format) {
    std::sort(job.ranges.begin(), job.ranges.end(),
              [](const TaskRange& a, const TaskRange& b) { return a.from < b.from; });
    std::vector<TaskRange> all;
    std::uint32_t covered_to = 0;
    for (auto& range : job.ranges) {
        append_default_ranges(job, covered_to, range.from, record_format, all);
        covered_to = range.from + range.size;
        all.push_back(std::move(range));
    }
    const auto task_count = static_cast<std::uint32_t>(job.tasks.size());
    append_default_ranges(job, covered_to, task_count, record_format, all);
    job.ranges = std::move(all);
}

std::string progress_key(const Job& job, std::uint32_t task_index) {
    const auto next = std::upper_bound(
        job.ranges.begin(), job.ranges.end(), task_index,
        [](std::uint32_t index, const TaskRange& range) { return index < range.from; });
    return next == job.ranges.begin() ? std::string() : std::prev(next)->key;
}

std::vector<TaskRange> split_range(const Job& job, const TaskRange& range,
                                   std::size_t max_value_bytes) {
    for (std::uint32_t parts_wanted = 2;; parts_wanted *= 2) {
        const auto size = part_size(range, parts_wanted);
        auto parts = divide(job, range, size);
        const bool all_fit = std::all_of(parts.begin(), parts.end(), [&](const TaskRange& part) {
            return encode_progress(job, part).json_size <= max_value_bytes;
        });
        if (all_fit || size == 1) return parts;
    }
}

void replace_range(Job& job, const std::string& key, const std::vector<TaskRange>& parts) {
    const auto position = job.ranges.erase(find_range(job.ranges, key));
    job.ranges.insert(position, parts.begin(), parts.end());
}

JobTaskRange find_task_range(std::map<JobId, Job>& jobs, const std::string& key) {
    const auto name = kv::without_prefix(key, kv::kProgressPrefix);
    const auto job = jobs.find(JobId(name.substr(0, name.rfind('/'))));
    if (job == jobs.end()) return {};
    const auto range = find_range(job->second.ranges, key);
    if (range == job->second.ranges.end()) return {};
    return {&job->second, &*range};
}

}  // namespace dunebridge::state
