#include "scheduler/team_quota.hpp"

#include <algorithm>

namespace dunebridge::scheduler {

namespace {

// Tolerance for floating-point rounding errors in sums of resource amounts.
constexpr double kRoundingError = 1e-9;

// Returns how many of `tasks` fit within the limit on one resource. A limit of 0 means no limit.
std::size_t tasks_within_limit(std::size_t tasks, double limit, double used, double per_task) {
    if (limit <= 0 || per_task <= 0) return tasks;
    const double max_tasks = std::max(0.0, (limit - used) / per_task + kRoundingError);
    return std::min(tasks, static_cast<std::size_t>(max_tasks));
}

}  // namespace

std::size_t tasks_within_quota(const state::Job& job, const config::Config& config,
                               const state::TeamUsage& usage) {
    const auto* team = config.find_team(job.spec.team);
    if (!team) return 0;
    const auto within_cpu_quota =
        tasks_within_limit(job.placeable_tasks(), team->cpus_max, usage.cpus, job.spec.cores);
    return tasks_within_limit(within_cpu_quota, team->gpus_max, usage.gpus, job.spec.accelerators);
}

}  // namespace dunebridge::scheduler
