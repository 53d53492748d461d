#include "sim/invariant_checker.hpp"

#include <algorithm>
#include <tuple>

namespace dunebridge::sim {

namespace {
// For how long a start sent before the leader learned of the cancellation may still be in flight.
constexpr Millis kInFlight{20};
}  // namespace

InvariantChecker::InvariantChecker(Simulation& simulation, const FakeKvStore& kv_store,
                                   Machines& machines, SimulatedUsers& users,
                                   const SimulatedNetwork& network)
    : sim_(simulation),
      kv_store_(kv_store),
      workers_(machines),
      users_(users),
      starvation_(simulation, machines, users, network) {}

void InvariantChecker::task_started(const MachineName& host, const TaskRef& task) {
    ++sim_.statistics.tasks_started;
    auto& user = users_.at(task.job);
    user.last_start = sim_.clock.now();
    user.first_start = std::min(user.first_start, sim_.clock.now());
    check_uniqueness(host, task);
    started_on_[task.job].insert(host);
    const auto& worker = *workers_.at(host);
    check_constraints(worker, task);
    check_zones(worker, task);
    if (!users_.dependencies_done(user)) sim_.violated("started_before_dependencies", task.str());
    check_cancellation(task);
}

void InvariantChecker::check_uniqueness(const MachineName& host, const TaskRef& task) {
    for (const auto& other : started_on_[task.job]) {
        if (other != host && workers_.at(other)->has(task)) {
            sim_.violated("ran_twice", task.str() + " on " + host.get() + " and " + other.get());
        }
    }
}

void InvariantChecker::check_constraints(const FakeWorker& worker, const TaskRef& task) {
    const auto& spec = users_.at(task.job).spec;
    const bool type_allowed =
        !spec.machine_types || std::find(spec.machine_types->begin(), spec.machine_types->end(),
                                         worker.machine_type()) != spec.machine_types->end();
    if (!type_allowed || (spec.zone && *spec.zone != worker.zone()) ||
        (worker.spot() && !spec.spot_allowed)) {
        sim_.violated("placement_constraint", task.str() + " on " + worker.host().get());
    }
}

void InvariantChecker::check_zones(const FakeWorker& worker, const TaskRef& task) {
    const auto& spec = users_.at(task.job).spec;
    if (!spec.single_zone && !spec.spread_zones) return;
    std::map<std::string, std::uint32_t> zones;
    for (const auto& host : started_on_[task.job]) {
        auto& other = *workers_.at(host);
        const auto tasks = other.present_of(task.job, task);
        if (tasks > 0) zones[other.zone()] += tasks;
    }
    if (spec.single_zone && !zones.empty() && !zones.contains(worker.zone())) {
        sim_.violated("placement_constraint", task.str() + " away from its job's zone");
    }
    if (spec.spread_zones && zones[worker.zone()] + 1 > (spec.task_count + 1) / 2) {
        sim_.violated("placement_constraint", task.str() + " too many in one zone");
    }
}

void InvariantChecker::check_cancellation(const TaskRef& task) {
    const auto since_cancellation = sim_.clock.now() - users_.at(task.job).cancellation_seen_at;
    if (since_cancellation > Millis(0)) ++sim_.statistics.starts_after_cancellation;
    if (since_cancellation > kInFlight) ++sim_.statistics.starts_long_after_cancellation;
    if (since_cancellation > sim_.config.cancellation_deadline) {
        sim_.violated("ran_cancelled", task.str() + " started");
    }
}

void InvariantChecker::check() {
    std::map<std::string, double> use;
    for (auto& [host, worker] : workers_) {
        for (const auto& task : worker->present()) {
            const auto& user = users_.at(task.job);
            use[user.spec.team] += user.spec.cores;
            if (sim_.clock.now() - user.cancellation_seen_at > sim_.config.cancellation_deadline) {
                sim_.violated("ran_cancelled", task.str() + " is on " + host.get());
            }
        }
    }
    check_responses();
    starvation_.check();
    for (const auto& team : sim_.config.teams) {
        if (team.cpus_max > 0 && use[team.name] > team.cpus_max + 1e-6) {
            sim_.violated("quota", fmt::format("{} uses {}", team.name, use[team.name]));
        }
    }
}

// Once the last fault is over, a job is lost if no poll of it is answered for 75 s, whatever
// happens to other jobs.
void InvariantChecker::check_responses() {
    constexpr Millis most{75000};
    if (sim_.clock.now() < sim_.faults_end + most) return;
    for (const auto& [id, user] : users_.all()) {
        if (!user.accepted || user.cancel_requested) continue;
        if (sim_.clock.now() - std::max(user.last_answer, sim_.faults_end) > most) {
            sim_.violated("job_lost", id.get() + " has no answer");
        }
    }
}

// All other guarantees depend on this one: a task on a machine is on record with its attempt, until
// it is proved to be gone.
void InvariantChecker::check_records() {
    using Recorded = std::tuple<std::string, std::string, std::uint64_t, std::uint64_t>;
    std::set<Recorded> recorded;  // host, job, index, attempt
    std::set<std::pair<std::string, std::uint64_t>> placed;
    for (const auto& [key, value] : kv_store_.values("prog/")) {
        const auto doc = wire::Document::parse(value);
        const auto record = doc->root();
        const auto job = key.substr(5, key.rfind('/') - 5);
        const auto hosts = record["tasks"];
        for (std::size_t h = 0; h < hosts.size(); ++h) {
            const auto entry = hosts.at(h);
            for (std::size_t i = 1; i + 1 < entry.size(); i += 2) {
                const auto index =
                    record["from"].need_count("from") + entry.at(i).need_count("index");
                recorded.emplace(
                    entry.at(0).need_text("host"), job, index,
                    record["base"].need_count("base") + entry.at(i + 1).need_count("try"));
                if (!placed.emplace(job, index).second) {
                    sim_.violated("recorded_twice", fmt::format("{}/{}", job, index));
                }
            }
        }
    }
    for (auto& [host, worker] : workers_) {
        for (const auto& task : worker->present()) {
            const Recorded r{host.get(), task.job.get(), task.index, worker->attempt(task).get()};
            if (!recorded.contains(r)) {
                sim_.violated("unrecorded", task.str() + " is on " + host.get());
            }
        }
    }
}

}  // namespace dunebridge::sim
