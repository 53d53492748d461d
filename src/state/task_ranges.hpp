/// \file
/// The ranges into which a job's tasks are divided. Each range has its own progress record.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "state/job.hpp"

namespace dunebridge::state {

/// Adds ranges for the tasks of the job that no range covers, so that every task is in exactly one.
/// Their size depends on the active record format.
void complete_ranges(Job& job, std::uint64_t record_format);

/// Returns the key of the progress record that covers the task; empty if there is none.
std::string progress_key(const Job& job, std::uint32_t task_index);

/// Divides the range into parts of about equal size, doubling their number from two until each
/// part's record fits `max_value_bytes`. A range of one task is not divided further, whatever the
/// size of its record.
std::vector<TaskRange> split_range(const Job& job, const TaskRange& range,
                                   std::size_t max_value_bytes);

/// Replaces the range whose progress record has this key by its parts. The range must exist.
/// Invalidates pointers to the job's ranges.
void replace_range(Job& job, const std::string& key, const std::vector<TaskRange>& parts);

/// A job and a range of its tasks; both pointers are null if there is none.
struct JobTaskRange {
    Job* job = nullptr;
    const TaskRange* range = nullptr;

    explicit operator bool() const { return range != nullptr; }
};

/// Returns the job and the range of tasks that the progress record with this key covers; empty if
/// the job is not in `jobs` or the range has been split.
JobTaskRange find_task_range(std::map<JobId, Job>& jobs, const std::string& key);

/// Calls `visit(Placement&)` for the placement of each placed task in the range, in index order.
template <class Visit>
void for_each_placement(const JobTaskRange& tasks, Visit visit) {
    if (!tasks) return;
    const auto end = tasks.range->from + tasks.range->size;
    for (auto index = tasks.range->from; index < end; ++index) {
        if (auto* placement = tasks.job->tasks[index].placement) visit(*placement);
    }
}

}  // namespace dunebridge::state
