#include "sim/starvation_checker.hpp"

#include <algorithm>

namespace dunebridge::sim {

StarvationChecker::StarvationChecker(Simulation& simulation, Machines& machines,
                                     SimulatedUsers& users, const SimulatedNetwork& network)
    : sim_(simulation), workers_(machines), users_(users), network_(network) {}

StarvationChecker::Usage StarvationChecker::usage() {
    Usage u;
    for (auto& [host, w] : workers_) {
        for (const auto& task : w->present()) {
            const auto& user = users_.at(task.job);
            u.teams[user.spec.team] += user.spec.cores;
            u.hosts[host] += user.spec.cores;
            ++u.zones[task.job][w->zone()];
            if (!user.completed.contains(task.index)) ++u.running[task.job];
        }
    }
    return u;
}

// Whether a waiting task of the job fits the free capacity of a machine that can be reached, with
// its team under its quota.
bool StarvationChecker::could_start(const SimulatedUser& user, Usage& usage) {
    const auto& spec = user.spec;
    auto& zones = usage.zones[spec.id];
    if (user.completed.size() + usage.running[spec.id] >= spec.task_count) return false;
    for (const auto& team : sim_.config.teams) {
        if (team.name != spec.team || team.cpus_max <= 0) continue;
        if (usage.teams[team.name] + spec.cores > team.cpus_max + 1e-6) return false;
    }
    return std::any_of(workers_.begin(), workers_.end(), [&](const auto& row) {
        auto& w = *row.second;
        if (w.gone() || w.hanging() || network_.worker_fault(row.first) != LinkFault::none)
            return false;
        if (w.spot() && !spec.spot_allowed) return false;
        if (spec.zone && *spec.zone != w.zone()) return false;
        if (spec.machine_types && std::find(spec.machine_types->begin(), spec.machine_types->end(),
                                            w.machine_type()) == spec.machine_types->end()) {
            return false;
        }
        if (spec.single_zone && !zones.empty() && !zones.contains(w.zone())) return false;
        if (spec.spread_zones && zones.contains(w.zone()) &&
            zones[w.zone()] + 1 > (spec.task_count + 1) / 2) {
            return false;
        }
        return usage.hosts[row.first] + spec.cores <= w.cores() + 1e-6;
    });
}

// Only a few tasks of a job that fails everywhere are tried now and then. A job with thousands of
// small tasks has some that wait, and some free capacity remains, at any moment while others start;
// it starves when none starts.
bool StarvationChecker::starts_gradually(const SimulatedUser& user) {
    constexpr std::uint32_t giant = 1000;
    return user.failing || user.spec.task_count >= giant;
}

void StarvationChecker::check() {
    constexpr Millis most{90000};
    if (sim_.clock.now() < std::max(next_check_, sim_.faults_end)) return;
    next_check_ = sim_.clock.now() + Millis(sim_.options.large_fleet ? 10000 : 1000);
    auto now = usage();
    for (auto& [id, user] : users_.all()) {
        const bool waits = user.accepted && !user.cancel_requested && !user.terminal_phase &&
                           users_.dependencies_done(user) && could_start(user, now);
        if (!waits) {
            user.startable_since = Instant::max();
        } else if (user.startable_since == Instant::max()) {
            user.startable_since = sim_.clock.now();
        } else if (sim_.clock.now() - std::max(user.startable_since, starts_gradually(user)
                                                                         ? user.last_start
                                                                         : Instant{}) >
                   most) {
            sim_.violated("starved", id.get());
        }
    }
}

}  // namespace dunebridge::sim
