/// \file
/// The number of a job's tasks that its team's quota allows.
#pragma once

#include <cstddef>

#include "config/config.hpp"
#include "state/job.hpp"
#include "state/team_usage.hpp"

namespace dunebridge::scheduler {

/// Returns the number of the job's pending tasks that may be placed now under its team's quota,
/// given the team's current usage. Returns 0 if the settings do not name the team.
std::size_t tasks_within_quota(const state::Job& job, const config::Config& config,
                               const state::TeamUsage& usage);

}  // namespace dunebridge::scheduler
