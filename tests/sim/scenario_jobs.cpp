// The jobs that users submit over a scenario, drawn by its seed.
#include <algorithm>

#include "sim/simulated_users.hpp"

namespace dunebridge::sim {

void SimulatedUsers::add_random_jobs(int jobs) {
    const std::vector<std::string> teams{"red", "blue", "free"};
    for (int n = 0; n < jobs; ++n) {
        SimulatedUser user;
        auto& s = user.spec;
        s.id = JobId(fmt::format("req-{:06}", sim_.rng() % 900000 + static_cast<std::uint64_t>(n)));
        s.job_class = sim_.rng() % 2 ? "short" : "long";
        s.team = teams[sim_.rng() % teams.size()];
        s.priority = sim_.rng() % 3 == 0 ? wire::Priority::urgent : wire::Priority::standard;
        s.task_count = static_cast<std::uint32_t>(1 + sim_.rng() % sim_.options.most_tasks);
        s.cores = static_cast<double>(1 + sim_.rng() % 3);
        s.ram_gb = 2;
        s.image = "img-" + std::to_string(sim_.rng() % 3);
        s.image_gb = 1;
        s.expected_run_time_s = s.job_class == "short" ? 6 : 25;
        if (sim_.options.task_s > 0) s.expected_run_time_s = sim_.options.task_s;
        s.spot_allowed = sim_.rng() % 4 != 0;
        s.single_zone = sim_.rng() % 6 == 0;
        s.spread_zones = !s.single_zone && sim_.rng() % 6 == 0;
        if (sim_.rng() % 6 == 0) s.machine_types = std::vector<std::string>{"big"};
        if (sim_.rng() % 6 == 0 && !s.spread_zones) s.zone = sim_.rng() % 2 ? "a" : "b";
        if (sim_.rng() % 3 == 0) {
            s.checkpoint_interval_s = 5;
            s.checkpoint_duration_s = 2;
        }
        if (sim_.rng() % 2 == 0) s.deadline_s = 60;
        const auto span = static_cast<std::uint64_t>(sim_.options.faults_s * 800);
        user.submit_at = sim_.clock.now() + Millis(static_cast<std::int64_t>(sim_.rng() % span));
        if (sim_.rng() % 4 == 0) {
            user.cancel_at = user.submit_at + Millis(static_cast<std::int64_t>(sim_.rng() % 40000));
        }
        users_.emplace(s.id, std::move(user));
    }
    add_pipelines();
    if (sim_.options.guest_team) add_guest_jobs();
    if (sim_.options.failing_jobs_percent > 0) mark_failing_jobs();
    for (auto& [id, user] : users_) schedule(user);
    sim_.clock.after(Millis(5000), [this] { poll_unknown_job(); });
}

void SimulatedUsers::add_pipelines() {
    std::vector<JobId> early;
    for (const auto& [id, user] : users_) early.push_back(id);
    const auto from = sim_.clock.now() + from_seconds(sim_.options.pipelines_after_s);
    const auto span =
        static_cast<std::uint64_t>((sim_.options.faults_s - sim_.options.pipelines_after_s) * 800);
    for (int n = 0; n < sim_.options.pipelines; ++n) {
        const auto begin = from + Millis(static_cast<std::int64_t>(sim_.fault_rng() % span));
        const auto add = [&](int stage, std::vector<JobId> dependencies) {
            SimulatedUser user;
            auto& s = user.spec;
            s.id = JobId(fmt::format("req-7{:05}{}", n, stage));
            s.job_class = "chain";
            s.team = n % 2 ? "red" : "free";
            s.priority = stage == 3 ? wire::Priority::urgent : wire::Priority::idle;
            s.task_count = static_cast<std::uint32_t>(1 + sim_.fault_rng() % 5);
            s.cores = 1;
            s.ram_gb = 1;
            s.image = "img-0";
            s.image_gb = 1;
            s.expected_run_time_s = 5;
            s.spot_allowed = true;
            if (stage == 3) s.deadline_s = 120;
            s.dependencies = std::move(dependencies);
            // Some submit the last job only when the others have ended.
            user.submit_at = begin + Millis(stage == 3 && sim_.fault_rng() % 4 == 0 ? 60000 : 0);
            if (sim_.fault_rng() % 8 == 0) {
                user.cancel_at =
                    user.submit_at + Millis(static_cast<std::int64_t>(sim_.fault_rng() % 40000));
            }
            return users_.emplace(s.id, std::move(user)).first->first;
        };
        const auto first =
            add(0, sim_.fault_rng() % 3 == 0 ? std::vector{early[sim_.fault_rng() % early.size()]}
                                             : std::vector<JobId>{});
        const auto left = add(1, {first});
        const auto right = add(2, {first});
        const auto last = add(3, {left, right});
        if (sim_.options.fan_in == 0) continue;
        std::vector<JobId> many{last};
        for (std::size_t i = 0; i < std::min(sim_.options.fan_in, early.size()); ++i) {
            many.push_back(early[i]);
        }
        add(4, std::move(many));
    }
}

// A team without a quota: one giant array, a swarm of one-task jobs, and idle work that
// checkpoints.
void SimulatedUsers::add_guest_jobs() {
    const auto add = [this](int number, Instant at, const char* job_class) -> wire::JobSpec& {
        SimulatedUser user;
        user.spec.id = JobId(fmt::format("req-8{:05}", number));
        user.spec.job_class = job_class;
        user.spec.team = "guest";
        user.spec.priority = wire::Priority::idle;
        user.spec.cores = 0.25;
        user.spec.ram_gb = 0.5;
        user.spec.image = "img-guest";
        user.spec.image_gb = 0.5;
        user.spec.spot_allowed = true;
        user.submit_at = at;
        return users_.emplace(user.spec.id, std::move(user)).first->second.spec;
    };
    constexpr std::uint32_t giant_tasks = 3000;
    constexpr int swarm_jobs = 60;
    const auto begin = sim_.clock.now() + from_seconds(sim_.options.faults_s / 3);
    auto& giant = add(0, begin, "giant");
    giant.task_count = giant_tasks;
    giant.expected_run_time_s = 4;
    for (int n = 1; n <= swarm_jobs; ++n) {
        auto& tiny = add(n, begin + Millis(250 * n), "swarm");
        tiny.task_count = 1;
        tiny.expected_run_time_s = 8;
    }
    auto& backfill = add(swarm_jobs + 1, sim_.clock.now() + Millis(3000), "backfill");
    backfill.task_count = 40;
    backfill.cores = 1;
    backfill.expected_run_time_s = 30;
    backfill.checkpoint_interval_s = 5;
    backfill.checkpoint_duration_s = 1;
}

void SimulatedUsers::mark_failing_jobs() {
    for (auto& [id, user] : users_) {
        if (!user.spec.dependencies.empty() ||
            sim_.fault_rng() % 100 >= sim_.options.failing_jobs_percent)
            continue;
        user.failing = true;
        constexpr std::uint64_t spread_ms = 90000;
        user.cancel_at = user.submit_at + Millis(60000) +
                         Millis(static_cast<std::int64_t>(sim_.fault_rng() % spread_ms));
    }
}

void SimulatedUsers::add_urgent_flow() {
    const auto add = [this](int n, Instant at) -> wire::JobSpec& {
        SimulatedUser user;
        user.spec.id = JobId(fmt::format("req-{:06}", n));
        user.spec.team = "free";
        user.spec.image = "img-0";
        user.spec.spot_allowed = true;
        user.submit_at = at;
        return users_.emplace(user.spec.id, std::move(user)).first->second.spec;
    };
    // More than the fleet can complete while the flow lasts.
    int n = 0;
    for (auto at = sim_.clock.now(); at < sim_.faults_end; at += Millis(1500)) {
        auto& small = add(++n, at);
        small.job_class = "short";
        small.priority = wire::Priority::urgent;
        small.task_count = 12;
        small.cores = 1;
        small.ram_gb = 1;
        small.expected_run_time_s = 12;
        small.deadline_s = 60;
    }
    auto& large = add(0, sim_.clock.now() + Millis(30000));
    large.job_class = "long";
    large.priority = wire::Priority::standard;
    large.task_count = 20;
    large.cores = 14;
    large.ram_gb = 20;
    large.expected_run_time_s = 10;
    for (auto& [id, user] : users_) schedule(user);
}

}  // namespace dunebridge::sim
