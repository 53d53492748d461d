/// \file
/// How many tasks of a job its team's quota admits.
#pragma once

#include <cstddef>

#include "config/config.hpp"
#include "state/job.hpp"
#include "state/team_usage.hpp"

namespace dunebridge::scheduler {

/// The number of the job's pending tasks that may be placed now under its team's quota, given what
/// the team uses. None for a team that the settings do not name.
std::size_t tasks_within_quota(const state::Job& job, const config::Config& config,
                               const state::TeamUsage& usage);

}  // namespace dunebridge::scheduler
