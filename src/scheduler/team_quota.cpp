#include "scheduler/team_quota.hpp"

#include <algorithm>

namespace dunebridge::scheduler {

namespace {

// Sums of decimals may fall short of the whole by a rounding error.
constexpr double kRoundingError = 1e-9;

// How many of `tasks` a limit on one resource leaves room for; a limit of 0 is none.
std::size_t limit_tasks(std::size_t tasks, double limit, double used, double per_task) {
    if (limit <= 0 || per_task <= 0) return tasks;
    const double most = std::max(0.0, (limit - used) / per_task + kRoundingError);
    return std::min(tasks, static_cast<std::size_t>(most));
}

}  // namespace

std::size_t tasks_within_quota(const state::Job& job, const config::Config& config,
                               const state::TeamUsage& usage) {
    const auto* team = config.find_team(job.spec.team);
    if (!team) return 0;
    const auto by_cpus =
        limit_tasks(job.placeable_tasks(), team->cpus_max, usage.cpus, job.spec.cores);
    return limit_tasks(by_cpus, team->gpus_max, usage.gpus, job.spec.accelerators);
}

}  // namespace dunebridge::scheduler
