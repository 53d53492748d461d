// The protocol's rules, checked as the simulated world goes on, and what is told of a day.
#include <algorithm>
#include <tuple>

#include "sim/simulated_cluster.hpp"

namespace dunebridge::sim {

using wire::JobPhase;

namespace {
// A start that left before the leader heard of the cancellation is still on its way for so long.
constexpr Millis kInFlight{20};
}  // namespace

void SimulatedCluster::task_started(const MachineName& host, const TaskRef& task) {
    ++starts_;
    users_.at(task.job).last_start = clock_.now();
    auto& began = users_.at(task.job).began;
    began = std::min(began, clock_.now());
    const auto& user = users_.at(task.job);
    const auto& spec = user.spec;
    auto& job_hosts = started_on_[task.job];
    for (const auto& other : job_hosts) {
        if (other != host && workers_.at(other)->has(task)) {
            broken("ran_twice", task.str() + " on " + host.get() + " and " + other.get());
        }
    }
    job_hosts.insert(host);
    const auto& worker = *workers_.at(host);
    const bool type_allowed =
        !spec.machine_types || std::find(spec.machine_types->begin(), spec.machine_types->end(),
                                         worker.machine_type()) != spec.machine_types->end();
    if (!type_allowed || (spec.zone && *spec.zone != worker.zone()) ||
        (worker.spot() && !spec.spot_allowed)) {
        broken("wrong_place", task.str() + " on " + host.get());
    }
    std::map<std::string, std::uint32_t> zones;
    for (const auto& other : job_hosts) {
        if (!spec.together && !spec.apart) break;
        auto& there = *workers_.at(other);
        const auto n = there.present_of(task.job, task);
        if (n > 0) zones[there.zone()] += n;
    }
    if (spec.together && !zones.empty() && !zones.contains(worker.zone())) {
        broken("wrong_place", task.str() + " away from its job's zone");
    }
    if (spec.apart && zones[worker.zone()] + 1 > (spec.task_count + 1) / 2) {
        broken("wrong_place", task.str() + " too many in one zone");
    }
    if (!dependencies_done(user)) broken("too_early", task.str());
    if (clock_.now() > user.cancellation_seen_at) ++starts_after_cancellation_;
    if (clock_.now() - user.cancellation_seen_at > kInFlight) ++starts_long_after_cancellation_;
    if (clock_.now() - user.cancellation_seen_at > config_.cancellation_deadline) {
        broken("ran_cancelled", task.str() + " started");
    }
}

void SimulatedCluster::broken(const std::string& rule, const std::string& detail) {
    violations_.push_back(fmt::format("{} at {:.2f} s: {}", rule,
                                      to_seconds(clock_.now().time_since_epoch()), detail));
}

void SimulatedCluster::check() {
    std::map<std::string, double> use;
    for (auto& [host, worker] : workers_) {
        for (const auto& task : worker->present()) {
            const auto& user = users_.at(task.job);
            use[user.spec.team] += user.spec.cores;
            if (clock_.now() - user.cancellation_seen_at > config_.cancellation_deadline) {
                broken("ran_cancelled", task.str() + " is on " + host.get());
            }
        }
    }
    check_answers();
    check_waiting();
    for (const auto& team : config_.teams) {
        if (team.cpus_max > 0 && use[team.name] > team.cpus_max + 1e-6) {
            broken("quota", fmt::format("{} uses {}", team.name, use[team.name]));
        }
    }
}

// Once the troubles are over, a job about which no question is answered for 75 s is forgotten,
// however others fare.
void SimulatedCluster::check_answers() {
    constexpr Millis most{75000};
    if (clock_.now() < faults_end_ + most) return;
    for (const auto& [id, user] : users_) {
        if (!user.accepted || user.abort_asked) continue;
        if (clock_.now() - std::max(user.last_answer, faults_end_) > most) {
            broken("forgotten", id.get() + " has no answer");
        }
    }
}

// What everything else rests on: a task on a machine is in the ledger, with its attempt. It may
// be missing only once it is proved gone.
void SimulatedCluster::check_ledger() {
    using Recorded = std::tuple<std::string, std::string, std::uint64_t, std::uint64_t>;
    std::set<Recorded> recorded;  // host, job, index, attempt
    std::set<std::pair<std::string, std::uint64_t>> placed;
    for (const auto& [key, value] : state_.values("prog/")) {
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
                    broken("recorded_twice", fmt::format("{}/{}", job, index));
                }
            }
        }
    }
    for (auto& [host, worker] : workers_) {
        for (const auto& task : worker->present()) {
            const Recorded r{host.get(), task.job.get(), task.index, worker->attempt(task).get()};
            if (!recorded.contains(r)) {
                broken("unrecorded", task.str() + " is on " + host.get());
            }
        }
    }
}

std::string SimulatedCluster::describe_violations() const {
    std::string out;
    for (const auto& line : violations_) out += line + "\n";
    return out;
}

std::size_t SimulatedCluster::unfinished_jobs() const {
    return static_cast<std::size_t>(
        std::count_if(users_.begin(), users_.end(), [](const auto& u) { return !u.second.final; }));
}

// Asked at each step: the jobs submitted last are mostly the last to end.
bool SimulatedCluster::all_jobs_terminal() const {
    return std::all_of(users_.rbegin(), users_.rend(),
                       [](const auto& user) { return user.second.final.has_value(); });
}

std::string SimulatedCluster::describe_unfinished() const {
    std::string out;
    for (const auto& [id, user] : users_) {
        if (user.final) continue;
        out += fmt::format("{} accepted={} completed={}/{} cores={} apart={} together={}\n",
                           id.get(), user.accepted, user.completed.size(), user.spec.task_count,
                           user.spec.cores, user.spec.apart, user.spec.together);
    }
    return out;
}

double SimulatedCluster::least_served() const {
    std::map<std::string, std::pair<double, double>> groups;  // done, all
    for (const auto& [id, user] : users_) {
        if (user.abort_asked) continue;
        for (const auto& name : {"class " + user.spec.job_class, "team " + user.spec.team}) {
            groups[name].first += user.final == JobPhase::done ? 1 : 0;
            groups[name].second += 1;
        }
    }
    double least = 1;
    for (const auto& [name, g] : groups) least = std::min(least, g.first / g.second);
    return least;
}

std::size_t SimulatedCluster::machines_up() const {
    return static_cast<std::size_t>(std::count_if(workers_.begin(), workers_.end(),
                                                  [](const auto& w) { return !w.second->gone(); }));
}

}  // namespace dunebridge::sim
