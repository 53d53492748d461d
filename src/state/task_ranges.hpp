/// \file
/// The ranges into which a job's tasks are divided; each has a progress record of its own.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "state/job.hpp"

namespace dunebridge::state {

/// Divides those of the job's tasks that no record covers into ranges, so that every task is in
/// exactly one. The record format that is in force decides how large the new ranges are.
void complete_ranges(Job& job, std::uint64_t record_format);

/// The key of the progress record that covers the task; empty if none does.
std::string progress_key(const Job& job, std::uint32_t task_index);

/// The range as several smaller ones, as few as it takes for each record to fit `max_value_bytes`.
/// A range of one task is not divided further, whatever the size of its record.
std::vector<TaskRange> split_range(const Job& job, const TaskRange& range,
                                   std::size_t max_value_bytes);

/// Replaces the range whose progress record has this key, which must exist, by its parts.
/// Invalidates pointers to the job's ranges.
void replace_range(Job& job, const std::string& key, const std::vector<TaskRange>& parts);

/// A range of tasks and the job that they belong to; both null if there is none.
struct JobTaskRange {
    Job* job = nullptr;
    const TaskRange* range = nullptr;

    explicit operator bool() const { return range != nullptr; }
};

/// The tasks that the progress record with this key covers; none once the job is forgotten or the
/// range is split.
JobTaskRange find_task_range(std::map<JobId, Job>& jobs, const std::string& key);

/// Calls `visit(Placement&)` for each task of the range that is placed, in order.
template <class Visit>
void for_each_placement(const JobTaskRange& tasks, Visit visit) {
    if (!tasks) return;
    const auto end = tasks.range->from + tasks.range->size;
    for (auto index = tasks.range->from; index < end; ++index) {
        if (auto* placement = tasks.job->tasks[index].placement) visit(*placement);
    }
}

}  // namespace dunebridge::state
