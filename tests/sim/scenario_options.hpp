/// \file
/// What a simulated scenario is made of: its size, its load, and which faults come by chance.
#pragma once

#include <cstdint>
#include <vector>

#include "config/config.hpp"
#include "wire/messages.hpp"

namespace dunebridge::sim {

/// The options of one scenario. Two runs with equal options are identical.
struct ScenarioOptions {
    std::uint64_t seed = 1;
    double faults_s = 240;      ///< For how long faults are injected, in seconds.
    double fault_every_s = 12;  ///< Mean time between random faults; 0: none.
    int jobs = 24;
    std::size_t machines = 8;       ///< The most that the cloud rents out at a time.
    std::uint32_t most_tasks = 10;  ///< Of a random job.
    /// Small urgent jobs that come all the time and would take every core, and one large job of
    /// lower priority among them.
    bool urgent_flow = false;
    double task_s = 0;     ///< Expected run time of every task; 0: by job class.
    double drain_s = 400;  ///< For how long after the last fault jobs may take to end.
    /// The faults of larger fleets as well: stalled controllers, zones partitioned with delayed
    /// messages, machines dying together, a slow key-value store, repeats of requests.
    bool severe_faults = false;
    /// A fleet of thousands: the limits of the key-value store and the cloud are enforced as a site
    /// of that size has them, lists come in full pages, and invariants are checked less often.
    bool large_fleet = false;
    /// The newest record format that the controllers know until they are upgraded; 0: they know all
    /// formats from the start.
    std::uint64_t old_format = 0;
    /// Pipelines of four jobs: one, two that depend on it, and a last one with a deadline, which
    /// depends on both; some begin with a job that was submitted long before.
    int pipelines = 0;
    double pipelines_after_s = 0;
    /// One more job at the end of each pipeline, which also depends on so many of the other jobs.
    std::size_t fan_in = 0;
    config::KvLimits limits;
    config::JobCacheLimits job_cache;
    /// So many percent of the jobs fail on every machine until their users cancel them.
    unsigned failing_jobs_percent = 0;
    /// A team without a quota submits a giant array, one-task jobs by the dozen, and idle work.
    bool guest_team = false;
};

/// The configuration that every controller of the scenario is started with, but for its own name
/// and its peers.
config::Config make_config(const ScenarioOptions& options);

/// The machine types of the simulated cloud.
std::vector<wire::MachineType> machine_types();

}  // namespace dunebridge::sim
