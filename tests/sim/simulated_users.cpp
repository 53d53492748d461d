#include "sim/simulated_users.hpp"

#include <algorithm>

namespace dunebridge::sim {

using controller::Listener;
using sansio::HttpResponse;
using wire::JobPhase;

SimulatedUsers::SimulatedUsers(Simulation& simulation, ControllerProcesses& controllers)
    : sim_(simulation), controllers_(controllers) {}

void SimulatedUsers::schedule(SimulatedUser& user) {
    sim_.clock.at(user.submit_at, [this, &user] { submit(user); });
    if (user.cancel_at < Instant::max())
        sim_.clock.at(user.cancel_at, [this, &user] { cancel(user); });
}

bool SimulatedUsers::dependencies_accepted(const SimulatedUser& user) const {
    return std::all_of(user.spec.dependencies.begin(), user.spec.dependencies.end(),
                       [&](const JobId& id) { return users_.at(id).accepted; });
}

bool SimulatedUsers::dependencies_done(const SimulatedUser& user) const {
    return std::all_of(user.spec.dependencies.begin(), user.spec.dependencies.end(),
                       [&](const JobId& id) {
                           const auto& need = users_.at(id);
                           return need.completed.size() == need.spec.task_count;
                       });
}

Instant SimulatedUsers::ancestor_cancellation_seen_at(const JobId& id) const {
    auto first = Instant::max();
    for (const auto& need : users_.at(id).spec.dependencies) {
        first = std::min(
            {first, users_.at(need).cancellation_seen_at, ancestor_cancellation_seen_at(need)});
    }
    return first;
}

bool SimulatedUsers::ancestor_cancel_requested(const JobId& id) const {
    const auto& dependencies = users_.at(id).spec.dependencies;
    return std::any_of(dependencies.begin(), dependencies.end(), [&](const JobId& need) {
        return users_.at(need).cancel_requested || ancestor_cancel_requested(need);
    });
}

void SimulatedUsers::submit(SimulatedUser& user) {
    if (user.accepted) return;
    if (!dependencies_accepted(user)) {
        sim_.clock.after(Millis(300), [this, &user] { submit(user); });
        return;
    }
    wire::Writer w;
    wire::encode_job(w, user.spec);
    const auto body = w.take();
    controllers_.request(sim_.rng() % controllers_.size(), Listener::front, "POST", "/v1/jobs",
                         body,
                         [this, &user, body, asked = sim_.clock.now()](const HttpResponse& a) {
                             if (a.status == 400 || a.status == 422) {
                                 sim_.violated("job_lost", user.spec.id.get() + " refused");
                             }
                             if (a.status != 200 && a.status != 201) return;
                             if (sim_.options.severe_faults) repeat_later(user, "/v1/jobs", body);
                             const bool first = !user.accepted;
                             user.accepted = true;
                             if (asked >= user.terminal_seen_at) record_status(user, a);
                             if (first) poll(user);
                         });
    sim_.clock.after(Millis(1000 + static_cast<std::int64_t>(sim_.rng() % 500)),
                     [this, &user] { submit(user); });
}

// A submission or cancellation that was carried out is sent again, to any controller. The response
// must agree with what the user has seen.
void SimulatedUsers::repeat_later(SimulatedUser& user, const std::string& target,
                                  const std::string& body) {
    if (sim_.fault_rng() % 4 != 0) return;
    sim_.clock.after(Millis(static_cast<std::int64_t>(sim_.fault_rng() % 60000)),
                     [this, &user, target, body] {
                         repeat_request(user, sim_.fault_rng() % controllers_.size(), "POST",
                                        target, body, "repeat");
                     });
}

// A response that was under way while the user learned of the end may be the older one.
void SimulatedUsers::repeat_request(SimulatedUser& user, std::size_t node,
                                    const std::string& method, const std::string& target,
                                    const std::string& body, const char* when) {
    controllers_.request(node, Listener::front, method, target, body,
                         [this, &user, when, asked = sim_.clock.now()](const HttpResponse& a) {
                             if (a.status == 404 || a.status == 400 || a.status == 422) {
                                 sim_.violated("job_lost",
                                               fmt::format("{} ({})", user.spec.id.get(), when));
                             }
                             if (a.status == 200 && asked >= user.terminal_seen_at)
                                 record_status(user, a);
                         });
}

void SimulatedUsers::poll(SimulatedUser& user) {
    // Polling goes on after the end: every controller must keep to the terminal phase.
    controllers_.request(sim_.rng() % controllers_.size(), Listener::front, "GET",
                         "/v1/jobs/" + user.spec.id.get(), {},
                         [this, &user, asked = sim_.clock.now()](const HttpResponse& a) {
                             if (a.status == 404) sim_.violated("job_lost", user.spec.id.get());
                             // A response under way while the user learned of the end may be the
                             // older one.
                             if (a.status == 200 && asked >= user.terminal_seen_at)
                                 record_status(user, a);
                         });
    const auto pause = user.terminal_phase ? 20000 : 4000;
    sim_.clock.after(Millis(pause + static_cast<std::int64_t>(sim_.rng() % 1000)),
                     [this, &user] { poll(user); });
}

void SimulatedUsers::cancel(SimulatedUser& user) {
    if (user.terminal_phase) return;
    if (user.accepted) cancel_via(user, sim_.rng() % controllers_.size());
    sim_.clock.after(Millis(1500), [this, &user] { cancel(user); });
}

void SimulatedUsers::cancel_via(SimulatedUser& user, std::size_t node) {
    user.cancel_requested = true;
    controllers_.request(node, Listener::front, "POST", "/v1/jobs/" + user.spec.id.get() + "/abort",
                         {}, [this, &user](const HttpResponse& a) {
                             if (a.status == 404)
                                 sim_.violated("job_lost", user.spec.id.get() + " (abort)");
                             if (a.status != 200) return;
                             record_status(user, a);
                             if (sim_.options.severe_faults) {
                                 repeat_later(user, "/v1/jobs/" + user.spec.id.get() + "/abort",
                                              {});
                             }
                         });
}

void SimulatedUsers::record_status(SimulatedUser& user, const HttpResponse& a) {
    user.last_answer = sim_.clock.now();
    const auto doc = wire::Document::parse(a.body);
    const auto phase = doc->root()["phase"].need_text("phase");
    const auto& id = user.spec.id.get();
    if (user.terminal_phase && phase != wire::name_of(*user.terminal_phase))
        sim_.violated("terminal_phase_changed", id + " " + phase);
    if (phase == "done") {
        if (user.completed.size() < user.spec.task_count) sim_.violated("done_too_early", id);
        if (!user.terminal_phase) user.terminal_seen_at = sim_.clock.now();
        user.terminal_phase = JobPhase::done;
    } else if (phase == "withdrawn") {
        if (!user.cancel_requested &&
            ancestor_cancellation_seen_at(user.spec.id) == Instant::max() &&
            !ancestor_cancel_requested(user.spec.id)) {
            sim_.violated("terminal_phase_changed", id + " was not cancelled by its user");
        }
        if (!user.terminal_phase)
            user.terminal_seen_at = user.cancellation_seen_at = sim_.clock.now();
        user.terminal_phase = JobPhase::cancelled;
    } else if (sim_.clock.now() - ancestor_cancellation_seen_at(user.spec.id) >
               sim_.config.cancellation_deadline) {
        sim_.violated("orphaned", id + " is called " + phase);
    }
}

void SimulatedUsers::poll_unknown_job() {
    controllers_.request(sim_.rng() % controllers_.size(), Listener::front, "GET",
                         "/v1/jobs/req-999999999", {}, [this](const HttpResponse& a) {
                             if (a.status == 200)
                                 sim_.violated("unknown_job_found", "req-999999999");
                         });
    sim_.clock.after(Millis(5000), [this] { poll_unknown_job(); });
}

void SimulatedUsers::query_at_completion(SimulatedUser& user) {
    if (user.terminal_phase) return;
    const auto any = [this] { return sim_.fault_rng() % controllers_.size(); };
    sim_.clock.after(Millis(static_cast<std::int64_t>(sim_.fault_rng() % 60)),
                     [this, &user, any] { cancel_via(user, any()); });
    sim_.clock.after(Millis(1500), [this, &user] { cancel(user); });
    wire::Writer w;
    wire::encode_job(w, user.spec);
    repeat_request(user, any(), "GET", "/v1/jobs/" + user.spec.id.get(), {}, "at completion");
    repeat_request(user, any(), "POST", "/v1/jobs", w.take(), "at completion");
}

const wire::JobSpec* SimulatedUsers::description(const JobId& id) {
    const auto it = users_.find(id);
    return it == users_.end() ? nullptr : &it->second.spec;
}

Millis SimulatedUsers::run_time(const TaskRef& task) {
    const auto& user = users_.at(task.job);
    if (user.completed.contains(task.index)) return Millis(0);
    return from_seconds(user.spec.expected_run_time_s) *
           (50 + static_cast<std::int64_t>(sim_.rng() % 100)) / 100;
}

void SimulatedUsers::task_completed(const TaskRef& task) {
    auto& user = users_.at(task.job);
    user.completed.insert(task.index);
    if (user.completed.size() == user.spec.task_count && sim_.occurs(cancel_on_completion))
        query_at_completion(user);
}

std::size_t SimulatedUsers::unfinished_jobs() const {
    return static_cast<std::size_t>(std::count_if(
        users_.begin(), users_.end(), [](const auto& u) { return !u.second.terminal_phase; }));
}

// Called at each step: the jobs submitted last are mostly the last to end.
bool SimulatedUsers::all_jobs_terminal() const {
    return std::all_of(users_.rbegin(), users_.rend(),
                       [](const auto& user) { return user.second.terminal_phase.has_value(); });
}

std::string SimulatedUsers::describe_unfinished() const {
    std::string out;
    for (const auto& [id, user] : users_) {
        if (user.terminal_phase) continue;
        out += fmt::format("{} accepted={} completed={}/{} cores={} apart={} together={}\n",
                           id.get(), user.accepted, user.completed.size(), user.spec.task_count,
                           user.spec.cores, user.spec.spread_zones, user.spec.single_zone);
    }
    return out;
}

double SimulatedUsers::least_served() const {
    std::map<std::string, std::pair<double, double>> groups;  // done, all
    for (const auto& [id, user] : users_) {
        if (user.cancel_requested) continue;
        for (const auto& name : {"class " + user.spec.job_class, "team " + user.spec.team}) {
            groups[name].first += user.terminal_phase == JobPhase::done ? 1 : 0;
            groups[name].second += 1;
        }
    }
    double least = 1;
    for (const auto& [name, g] : groups) least = std::min(least, g.first / g.second);
    return least;
}

std::optional<double> SimulatedUsers::largest_job_wait_s() const {
    const SimulatedUser* largest = nullptr;
    for (const auto& [id, user] : users_) {
        if (!largest || user.spec.cores > largest->spec.cores) largest = &user;
    }
    if (!largest || largest->first_start == Instant::max()) return std::nullopt;
    return to_seconds(largest->first_start - largest->submit_at);
}

std::size_t SimulatedUsers::cancellations_seen() const {
    return static_cast<std::size_t>(std::count_if(users_.begin(), users_.end(), [](const auto& u) {
        return u.second.terminal_phase == wire::JobPhase::cancelled;
    }));
}

}  // namespace dunebridge::sim
