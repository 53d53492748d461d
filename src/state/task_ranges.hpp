// The ranges into which a job's tasks are divided, each with a progress record of its own.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "state/model.hpp"

namespace dunebridge::state {

// Fills the gaps between the ranges that are on record, so that they hold all of the job's tasks.
// The format of the ledger that is in force decides how large new ranges are.
void complete_ranges(Job& job, std::uint64_t format);

// The key of the progress record that the task is in; empty if it is in none.
std::string progress_key(const Job& job, std::uint32_t index);

// The range with that record, or null.
const TaskRange* find_range(const Job& job, const std::string& key);

// The range as several smaller ones, as few as it takes for the record of each to fit the limit.
std::vector<TaskRange> split_range(const Job& job, const TaskRange& range, std::size_t value_bytes);

// Puts the parts in the place of the range with that record.
void replace_range(Job& job, const std::string& key, const std::vector<TaskRange>& parts);

}  // namespace dunebridge::state
