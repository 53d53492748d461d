#include "state/task_ranges.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

#include "config/record_format.hpp"
#include "state/record_codec.hpp"

namespace dunebridge::state {

namespace {

// The range that a task is to be in if it is in none yet.
TaskRange default_range(const Job& job, std::uint32_t index, std::uint64_t format) {
    const auto task_count = static_cast<std::uint32_t>(job.tasks.size());
    const bool ranges = format >= config::kRangeFormat;
    const auto most = ranges ? kInitialTasksPerRange : kTasksPerChunk;
    const auto from = index / most * most;
    const auto size = std::min(most, task_count - from);
    auto key =
        ranges ? task_range_key(job.spec.id, from, size) : chunk_key(job.spec.id, from / kTasksPerChunk);
    return {from, size, std::move(key)};
}

TaskRange make_range(const Job& job, std::uint32_t from, std::uint32_t size) {
    return {from, size, task_range_key(job.spec.id, from, size)};
}

// Ranges of the size given; the last may be smaller.
std::vector<TaskRange> divide(const Job& job, const TaskRange& range, std::uint32_t size) {
    std::vector<TaskRange> parts;
    const auto end = range.from + range.size;
    for (auto from = range.from; from < end; from += size) {
        parts.push_back(make_range(job, from, std::min(size, end - from)));
    }
    return parts;
}

}  // namespace

void complete_ranges(Job& job, std::uint64_t format) {
    std::sort(job.ranges.begin(), job.ranges.end(),
              [](const TaskRange& a, const TaskRange& b) { return a.from < b.from; });
    std::vector<TaskRange> all;
    std::uint32_t next = 0;
    const auto fill_to = [&](std::uint32_t end) {
        while (next < end) {
            auto range = default_range(job, next, format);
            const auto until = std::min(range.from + range.size, end);
            // What is left beside smaller ranges.
            if (range.from != next || until != range.from + range.size) {
                range = make_range(job, next, until - next);
            }
            next = until;
            all.push_back(std::move(range));
        }
    };
    for (auto& range : job.ranges) {
        fill_to(range.from);
        next = range.from + range.size;
        all.push_back(std::move(range));
    }
    fill_to(static_cast<std::uint32_t>(job.tasks.size()));
    job.ranges = std::move(all);
}

std::string progress_key(const Job& job, std::uint32_t index) {
    const auto next = std::upper_bound(
        job.ranges.begin(), job.ranges.end(), index,
        [](std::uint32_t task, const TaskRange& range) { return task < range.from; });
    return next == job.ranges.begin() ? std::string() : std::prev(next)->key;
}

const TaskRange* find_range(const Job& job, const std::string& key) {
    const auto it = std::find_if(job.ranges.begin(), job.ranges.end(),
                                 [&](const TaskRange& range) { return range.key == key; });
    return it == job.ranges.end() ? nullptr : &*it;
}

std::vector<TaskRange> split_range(const Job& job, const TaskRange& range,
                                   std::size_t value_bytes) {
    for (std::uint32_t parts_wanted = 2;; parts_wanted *= 2) {
        // A digit of a record's sets stands for so many tasks.
        constexpr std::uint32_t step = kTasksPerHexDigit;
        const auto least =
            std::max<std::uint32_t>(1, (range.size + parts_wanted - 1) / parts_wanted);
        const auto size = least >= step ? (least + step - 1) / step * step : least;
        auto parts = divide(job, range, size);
        const bool fit = std::all_of(parts.begin(), parts.end(), [&](const TaskRange& part) {
            return encode_progress(job, part).json_size <= value_bytes;
        });
        if (fit || size == 1) return parts;
    }
}

void replace_range(Job& job, const std::string& key, const std::vector<TaskRange>& parts) {
    const auto at = std::find_if(job.ranges.begin(), job.ranges.end(),
                                 [&](const TaskRange& range) { return range.key == key; });
    const auto where = job.ranges.erase(at);
    job.ranges.insert(where, parts.begin(), parts.end());
}

}  // namespace dunebridge::state
