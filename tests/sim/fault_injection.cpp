// Troubles that a scenario brings about, and what is asked of the service once they are over.
#include <algorithm>

#include "sim/simulated_cluster.hpp"

namespace dunebridge::sim {

using controller::Listener;
using sansio::HttpCall;
using sansio::HttpResponse;

// ---- the state service ----

void SimulatedCluster::refuse(std::size_t i, Millis span) {
    if (i >= nodes_.size()) return;
    auto& node = nodes_[i];
    node.refused = true;
    node.cut_until = std::max(node.cut_until, clock_.now() + span);
    heal_at(node.cut_until, i);
}

void SimulatedCluster::kv_store_outage(Millis span) {
    state_.set_outage(true);
    clock_.after(span, [this] { state_.set_outage(false); });
}

bool SimulatedCluster::occurs(const FaultWindow& chance) {
    return clock_.now() < chance.until &&
           std::uniform_real_distribution<>(0, 1)(severe_fault_rng_) < chance.share;
}

void SimulatedCluster::serve_late(const HttpCall& c) {
    clock_.after(Millis(2000 + static_cast<std::int64_t>(severe_fault_rng_() % 10000)), [this, c] {
        state_.handle(c.method, c.target, c.body, [](const sansio::HttpResult&) {});
    });
}

// ---- users ----

void SimulatedCluster::cancel_running(std::size_t jobs) {
    const auto leads = leader();
    for (auto& [id, user] : users_) {
        if (jobs == 0) return;
        if (user.final || !user.accepted || user.abort_asked || user.began == Instant::max()) {
            continue;
        }
        --jobs;
        clock_.after(Millis(static_cast<std::int64_t>(severe_fault_rng_() % 200)),
                     [this, &user, leads] { abort_at(user, (leads + 1) % nodes_.size()); });
        clock_.after(Millis(1500), [this, &user] { abort(user); });
    }
}

std::size_t SimulatedCluster::cancellations_seen() const {
    return static_cast<std::size_t>(std::count_if(users_.begin(), users_.end(), [](const auto& u) {
        return u.second.final == wire::JobPhase::cancelled;
    }));
}

void SimulatedCluster::query_at_completion(User& user) {
    if (user.final) return;
    const auto any = [this] { return severe_fault_rng_() % nodes_.size(); };
    clock_.after(Millis(static_cast<std::int64_t>(severe_fault_rng_() % 60)),
                 [this, &user, any] { abort_at(user, any()); });
    clock_.after(Millis(1500), [this, &user] { abort(user); });
    wire::Writer w;
    wire::encode_job(w, user.spec);
    ask_again(user, any(), "GET", "/v1/jobs/" + user.spec.id.get(), {}, "at its end");
    ask_again(user, any(), "POST", "/v1/jobs", w.take(), "at its end");
}

void SimulatedCluster::inject_invalid_requests(Millis span) {
    for (Millis at{0}; at < span; at += Millis(700)) {
        clock_.after(at, [this] { send_invalid_request(); });
    }
}

void SimulatedCluster::send_invalid_request() {
    const auto node = severe_fault_rng_() % nodes_.size();
    auto& user =
        std::next(users_.begin(), static_cast<std::ptrdiff_t>(severe_fault_rng_() % users_.size()))
            ->second;
    const auto expect = [this](int status, const char* what) {
        return [this, status, what](const HttpResponse& a) {
            if (a.status != status && a.status != 503) {
                broken("odd_request", fmt::format("{}: {}", what, a.status));
            }
        };
    };
    const auto id = fmt::format("req-8{:08}", ++invalid_requests_);
    auto spec = user.spec;
    spec.id = JobId(id);
    spec.waits_on.clear();
    const auto post = [&](const std::string& body, std::function<void(const HttpResponse&)> then) {
        request(node, Listener::front, "POST", "/v1/jobs", body, std::move(then));
    };
    wire::Writer w;
    switch (severe_fault_rng_() % 4) {
        case 0:  // lacks every field but its name
            post(w.map(1).text("name_id").text(id).take(), expect(400, "lacks fields"));
            break;
        case 1:
            spec.cores = 500;
            wire::encode_job(w, spec);
            post(w.take(), expect(422, "fits no machine"));
            break;
        case 2:  // a known job, whatever the repeat carries
            if (user.accepted) {
                post(w.map(1).text("name_id").text(user.spec.id.get()).take(),
                     expect(200, "known"));
            }
            break;
        default:
            if (user.final != wire::JobPhase::done) break;
            request(
                node, Listener::front, "POST", "/v1/jobs/" + user.spec.id.get() + "/abort", {},
                [this, &user, late = expect(200, "cancels what is done")](const HttpResponse& a) {
                    late(a);
                    if (a.status == 200) record_response(user, a);
                });
    }
}

void SimulatedCluster::poll_storm(int factor, Millis span) {
    constexpr Millis step{500};
    constexpr std::uint64_t steps_between_polls = 9;  // of a user who is not impatient
    if (span < step) return;
    for (auto& [id, user] : users_) {
        if (!user.accepted) continue;
        for (int n = 1; n < factor; ++n) {
            if (severe_fault_rng_() % steps_between_polls != 0) continue;
            const Millis within(static_cast<std::int64_t>(
                severe_fault_rng_() % static_cast<std::uint64_t>(step.count())));
            clock_.after(within, [this, &user, node = severe_fault_rng_() % nodes_.size()] {
                ask_again(user, node, "GET", "/v1/jobs/" + user.spec.id.get(), {}, "storm");
            });
        }
    }
    clock_.after(step, [this, factor, rest = span - step] { poll_storm(factor, rest); });
}

// ---- machines ----

SimulatedCluster::Cut SimulatedCluster::worker_cut(const MachineName& host) const {
    const auto it = worker_cuts_.find(host);
    return it == worker_cuts_.end() || clock_.now() >= it->second.second ? Cut::none
                                                                         : it->second.first;
}

void SimulatedCluster::inject_worker_fault(WorkerFault how, unsigned percent, Millis span) {
    for (auto& [host, w] : workers_) {
        if (w->gone() || severe_fault_rng_() % 100 >= percent) continue;
        const auto until = clock_.now() + span;
        switch (how) {
            case WorkerFault::cut:
                worker_cuts_[host] = {Cut::drop, until};
                break;
            case WorkerFault::held:
                worker_cuts_[host] = {Cut::hold, until};
                break;
            case WorkerFault::unresponsive:
                worker_cuts_[host] = {Cut::unresponsive, until};
                break;
            case WorkerFault::mute:
                worker_cuts_[host] = {Cut::mute, until};
                break;
            case WorkerFault::hung:
                w->hang(span);
        }
    }
}

void SimulatedCluster::kill_machines(unsigned percent) {
    for (auto& [host, w] : workers_) {
        if (w->gone() || severe_fault_rng_() % 100 >= percent) continue;
        severe_fault_rng_() % 2 ? cloud_.take(host) : cloud_.fail(host);
    }
}

// ---- nodes ----

void SimulatedCluster::stall_process(std::size_t i, Millis span) {
    if (i < nodes_.size()) nodes_[i].stalled_until = clock_.now() + span;
}

void SimulatedCluster::stall_all_processes(Millis span) {
    for (std::size_t i = 0; i < nodes_.size(); ++i) stall_process(i, span);
}

void SimulatedCluster::inject_random_compound_fault() {
    const Millis span(1000 + static_cast<std::int64_t>(severe_fault_rng_() % 60000));
    const auto any = severe_fault_rng_() % nodes_.size();
    const auto node = leader() < nodes_.size() && severe_fault_rng_() % 3 != 0 ? leader() : any;
    const std::string zone = severe_fault_rng_() % 2 ? "a" : "b";
    switch (severe_fault_rng_() % 7) {
        case 0:
            return inject_boot_fault(5, 0.2, span);
        case 1:
            return inject_boot_fault(1, 1, span, zone);
        case 2:
            return crash_node(node, span);
        case 3:
            return crash_all(span);
        case 4:
            return stall_process(node, span);
        case 5:
            return stall_all_processes(span);
        default:
            return poll_storm(8, span);
    }
}

void SimulatedCluster::crash_all(Millis down) {
    for (std::size_t i = 0; i < nodes_.size(); ++i) crash(i, down);
}

void SimulatedCluster::upgrade(std::size_t i, Millis down) {
    nodes_[i].old_version = false;
    crash(i, down);
}

std::uint64_t SimulatedCluster::format() const {
    const auto mark = wire::Document::parse(state_.value(kv::kFormatMark));
    return mark ? mark->root()["v"].need_count("v") : config::kChunkFormat;
}

void SimulatedCluster::lower_limits() {
    state_.set_limits({config_.kv_limits.rps(), config_.kv_limits.write_rps(),
                       config_.kv_limits.txn_ops(), config_.kv_limits.value_bytes(), 20});
}

void SimulatedCluster::cut_zone(const std::string& zone, std::size_t i, Millis span) {
    const auto until = clock_.now() + span;
    for (auto& [host, w] : workers_) {
        if (!w->gone() && w->zone() == zone) worker_cuts_[host] = {Cut::hold, until};
    }
    cut_node(i, {true, true, true}, true, span);
}

void SimulatedCluster::cut_node(std::size_t i, Lost lost, bool held, Millis span) {
    if (i >= nodes_.size()) return;
    auto& node = nodes_[i];
    const auto cut = held ? Cut::hold : Cut::drop;
    if (lost.state) node.from_state = cut;
    if (lost.nodes) node.from_nodes = cut;
    if (lost.workers) node.from_workers = cut;
    node.cut_until = clock_.now() + span;
    heal_at(node.cut_until, i);
}

void SimulatedCluster::inject_random_fault() {
    const Millis span(1000 + static_cast<std::int64_t>(severe_fault_rng_() % 30000));
    const auto percent = static_cast<unsigned>(20 + severe_fault_rng_() % 60);
    const auto any = severe_fault_rng_() % nodes_.size();
    const auto i = severe_fault_rng_() % 3 != 0 && leader() < nodes_.size() ? leader() : any;
    const bool held = severe_fault_rng_() % 2 == 0;
    switch (severe_fault_rng_() % 21) {
        case 0:
            return refuse(i, span);
        case 1:
            return kv_store_outage(span * 2);
        case 2:
            return slow_kv_store(span);
        case 3:
            return delay_commands(span);
        case 4:
            return delay_transactions(0.3, span);
        case 5:
            return duplicate_heartbeats(0.5, span);
        case 6:
            return cancel_on_completion(0.5, span);
        case 7:
            return inject_invalid_requests(span);
        case 8:
        case 9:
            return cancel_running(1 + severe_fault_rng_() % 6);
        case 10:
            return inject_worker_fault(WorkerFault::cut, percent, span);
        case 11:
            return inject_worker_fault(WorkerFault::held, percent, span);
        case 12:
            return inject_worker_fault(WorkerFault::unresponsive, percent, span);
        case 13:
            return inject_worker_fault(WorkerFault::mute, percent, span);
        case 14:
            return inject_worker_fault(WorkerFault::hung, percent, span);
        case 15:
            return crash_node(i,
                              Millis(50 + static_cast<std::int64_t>(severe_fault_rng_() % 4000)));
        case 16:
            return crash_all(Millis(50 + static_cast<std::int64_t>(severe_fault_rng_() % 20000)));
        case 17:
            return cut_node(i, {true, true, false}, held, span);
        case 18:
            return drop_transaction_responses(0.4, span);
        case 19:
            return cut_node(i,
                            {severe_fault_rng_() % 2 == 0, severe_fault_rng_() % 3 == 0,
                             severe_fault_rng_() % 2 == 0},
                            held, span);
        default:
            return cut_zone(severe_fault_rng_() % 2 ? "a" : "b", any, span);
    }
}

// ---- once they are over ----

SimulatedCluster::Usage SimulatedCluster::usage() {
    Usage u;
    for (auto& [host, w] : workers_) {
        for (const auto& task : w->present()) {
            const auto& user = users_.at(task.job);
            u.teams[user.spec.team] += user.spec.cores;
            u.hosts[host] += user.spec.cores;
            ++u.zones[task.job][w->zone()];
            if (!user.completed.contains(task.index)) ++u.has_started[task.job];
        }
    }
    return u;
}

// Whether a waiting task of the job fits a machine that is there, reached and has room, with its
// team under its limit.
bool SimulatedCluster::could_start(const User& user, Usage& usage) {
    const auto& spec = user.spec;
    auto& zones = usage.zones[spec.id];
    if (user.completed.size() + usage.has_started[spec.id] >= spec.task_count) return false;
    for (const auto& team : config_.teams) {
        if (team.name != spec.team || team.cpus_max <= 0) continue;
        if (usage.teams[team.name] + spec.cores > team.cpus_max + 1e-6) return false;
    }
    return std::any_of(workers_.begin(), workers_.end(), [&](const auto& row) {
        auto& w = *row.second;
        if (w.gone() || w.hanging() || worker_cut(row.first) != Cut::none) return false;
        if (w.spot() && !spec.spot_allowed) return false;
        if (spec.zone && *spec.zone != w.zone()) return false;
        if (spec.machine_types && std::find(spec.machine_types->begin(), spec.machine_types->end(),
                                            w.machine_type()) == spec.machine_types->end()) {
            return false;
        }
        if (spec.together && !zones.empty() && !zones.contains(w.zone())) return false;
        if (spec.apart && zones.contains(w.zone()) &&
            zones[w.zone()] + 1 > (spec.task_count + 1) / 2) {
            return false;
        }
        return usage.hosts[row.first] + spec.cores <= w.cores() + 1e-6;
    });
}

// Of a job that fails everywhere a few tasks are tried now and then. Of one with thousands of small
// tasks some wait, and some room is left, at any moment while others start; it waits when none
// does.
bool SimulatedCluster::starts_gradually(const User& user) {
    constexpr std::uint32_t giant = 1000;
    return user.failing || user.spec.task_count >= giant;
}

// No job is left waiting for 90 s while a machine that fits has room and its team is under its
// limit.
void SimulatedCluster::check_waiting() {
    constexpr Millis most{90000};
    if (clock_.now() < std::max(next_waiting_check_, faults_end_)) return;
    next_waiting_check_ = clock_.now() + Millis(options_.large_fleet ? 10000 : 1000);
    auto now = usage();
    for (auto& [id, user] : users_) {
        const bool waits = user.accepted && !user.abort_asked && !user.final &&
                           dependencies_done(user) && could_start(user, now);
        if (!waits) {
            user.could_start_since = Instant::max();
        } else if (user.could_start_since == Instant::max()) {
            user.could_start_since = clock_.now();
        } else if (clock_.now() - std::max(user.could_start_since,
                                           starts_gradually(user) ? user.last_start : Instant{}) >
                   most) {
            broken("left_waiting", id.get());
        }
    }
}

}  // namespace dunebridge::sim
