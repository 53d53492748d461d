// The users of the simulated world: what they submit, ask and cancel.
#include <algorithm>

#include "sim/simulated_cluster.hpp"

namespace dunebridge::sim {

using controller::Listener;
using sansio::HttpResponse;
using wire::JobPhase;

void SimulatedCluster::make_users(int jobs) {
    const std::vector<std::string> teams{"red", "blue", "free"};
    for (int n = 0; n < jobs; ++n) {
        User user;
        auto& s = user.spec;
        s.id = JobId(fmt::format("req-{:06}", rng_() % 900000 + static_cast<std::uint64_t>(n)));
        s.job_class = rng_() % 2 ? "short" : "long";
        s.team = teams[rng_() % teams.size()];
        s.priority = rng_() % 3 == 0 ? wire::Priority::urgent : wire::Priority::standard;
        s.task_count = static_cast<std::uint32_t>(1 + rng_() % options_.most_tasks);
        s.cores = static_cast<double>(1 + rng_() % 3);
        s.ram_gb = 2;
        s.image = "img-" + std::to_string(rng_() % 3);
        s.image_gb = 1;
        s.expected_s = s.job_class == "short" ? 6 : 25;
        if (options_.task_s > 0) s.expected_s = options_.task_s;
        s.spot_allowed = rng_() % 4 != 0;
        s.together = rng_() % 6 == 0;
        s.apart = !s.together && rng_() % 6 == 0;
        if (rng_() % 6 == 0) s.machine_types = std::vector<std::string>{"big"};
        if (rng_() % 6 == 0 && !s.apart) s.zone = rng_() % 2 ? "a" : "b";
        if (rng_() % 3 == 0) {
            s.checkpoint_every_s = 5;
            s.checkpoint_s = 2;
        }
        if (rng_() % 2 == 0) s.due_s = 60;
        const auto span = static_cast<std::uint64_t>(options_.faults_s * 800);
        user.submit_at = clock_.now() + Millis(static_cast<std::int64_t>(rng_() % span));
        if (rng_() % 4 == 0) {
            user.abort_at = user.submit_at + Millis(static_cast<std::int64_t>(rng_() % 40000));
        }
        users_.emplace(s.id, std::move(user));
    }
    make_pipelines();
    if (options_.guest_team) make_guests();
    if (options_.failing_jobs_percent > 0) make_mistakes();
    for (auto& [id, user] : users_) plan_user(user);
    clock_.after(Millis(5000), [this] { ask_unknown(); });
}

void SimulatedCluster::make_pipelines() {
    std::vector<JobId> early;
    for (const auto& [id, user] : users_) early.push_back(id);
    const auto from = clock_.now() + from_seconds(options_.pipelines_after_s);
    const auto span =
        static_cast<std::uint64_t>((options_.faults_s - options_.pipelines_after_s) * 800);
    for (int n = 0; n < options_.pipelines; ++n) {
        const auto begin = from + Millis(static_cast<std::int64_t>(severe_fault_rng_() % span));
        const auto add = [&](int stage, std::vector<JobId> dependencies) {
            User user;
            auto& s = user.spec;
            s.id = JobId(fmt::format("req-7{:05}{}", n, stage));
            s.job_class = "chain";
            s.team = n % 2 ? "red" : "free";
            s.priority = stage == 3 ? wire::Priority::urgent : wire::Priority::idle;
            s.task_count = static_cast<std::uint32_t>(1 + severe_fault_rng_() % 5);
            s.cores = 1;
            s.ram_gb = 1;
            s.image = "img-0";
            s.image_gb = 1;
            s.expected_s = 5;
            s.spot_allowed = true;
            if (stage == 3) s.due_s = 120;
            s.waits_on = std::move(dependencies);
            user.chained = true;
            // Some submit the last one only when the others are over.
            user.submit_at = begin + Millis(stage == 3 && severe_fault_rng_() % 4 == 0 ? 60000 : 0);
            if (severe_fault_rng_() % 8 == 0) {
                user.abort_at =
                    user.submit_at + Millis(static_cast<std::int64_t>(severe_fault_rng_() % 40000));
            }
            return users_.emplace(s.id, std::move(user)).first->first;
        };
        const auto first = add(0, severe_fault_rng_() % 3 == 0
                                      ? std::vector{early[severe_fault_rng_() % early.size()]}
                                      : std::vector<JobId>{});
        const auto left = add(1, {first});
        const auto right = add(2, {first});
        const auto last = add(3, {left, right});
        if (options_.fan_in == 0) continue;
        std::vector<JobId> many{last};
        for (std::size_t i = 0; i < std::min(options_.fan_in, early.size()); ++i) {
            many.push_back(early[i]);
        }
        add(4, std::move(many));
    }
}

// A team that no setting guarantees anything: one giant array, a swarm of one-task jobs, and idle
// work that saves its progress.
void SimulatedCluster::make_guests() {
    const auto add = [this](int number, Instant at, const char* job_class) -> wire::JobSpec& {
        User user;
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
    const auto begin = clock_.now() + from_seconds(options_.faults_s / 3);
    auto& giant = add(0, begin, "giant");
    giant.task_count = giant_tasks;
    giant.expected_s = 4;
    for (int n = 1; n <= swarm_jobs; ++n) {
        auto& tiny = add(n, begin + Millis(250 * n), "swarm");
        tiny.task_count = 1;
        tiny.expected_s = 8;
    }
    auto& backfill = add(swarm_jobs + 1, clock_.now() + Millis(3000), "backfill");
    backfill.task_count = 40;
    backfill.cores = 1;
    backfill.expected_s = 30;
    backfill.checkpoint_every_s = 5;
    backfill.checkpoint_s = 1;
}

void SimulatedCluster::make_mistakes() {
    for (auto& [id, user] : users_) {
        if (!user.spec.waits_on.empty() ||
            severe_fault_rng_() % 100 >= options_.failing_jobs_percent)
            continue;
        user.failing = true;
        constexpr std::uint64_t spread_ms = 90000;
        user.abort_at = user.submit_at + Millis(60000) +
                        Millis(static_cast<std::int64_t>(severe_fault_rng_() % spread_ms));
    }
}

bool SimulatedCluster::dependencies_accepted(const User& user) const {
    return std::all_of(user.spec.waits_on.begin(), user.spec.waits_on.end(),
                       [&](const JobId& id) { return users_.at(id).accepted; });
}

bool SimulatedCluster::dependencies_done(const User& user) const {
    return std::all_of(user.spec.waits_on.begin(), user.spec.waits_on.end(), [&](const JobId& id) {
        const auto& need = users_.at(id);
        return need.completed.size() == need.spec.task_count;
    });
}

Instant SimulatedCluster::dependency_told_cancelled_at(const JobId& id) const {
    auto first = Instant::max();
    for (const auto& need : users_.at(id).spec.waits_on) {
        first = std::min(
            {first, users_.at(need).cancellation_seen_at, dependency_told_cancelled_at(need)});
    }
    return first;
}

void SimulatedCluster::plan_user(User& user) {
    clock_.at(user.submit_at, [this, &user] { submit(user); });
    if (user.abort_at < Instant::max()) clock_.at(user.abort_at, [this, &user] { abort(user); });
}

void SimulatedCluster::make_flow() {
    const auto add = [this](int n, Instant at) -> wire::JobSpec& {
        User user;
        user.spec.id = JobId(fmt::format("req-{:06}", n));
        user.spec.team = "free";
        user.spec.image = "img-0";
        user.spec.spot_allowed = true;
        user.submit_at = at;
        return users_.emplace(user.spec.id, std::move(user)).first->second.spec;
    };
    // More than the fleet can ever do while it lasts.
    int n = 0;
    for (auto at = clock_.now(); at < faults_end_; at += Millis(1500)) {
        auto& small = add(++n, at);
        small.job_class = "short";
        small.priority = wire::Priority::urgent;
        small.task_count = 12;
        small.cores = 1;
        small.ram_gb = 1;
        small.expected_s = 12;
        small.due_s = 60;
    }
    auto& large = add(0, clock_.now() + Millis(30000));
    large.job_class = "long";
    large.priority = wire::Priority::standard;
    large.task_count = 20;
    large.cores = 14;
    large.ram_gb = 20;
    large.expected_s = 10;
    for (auto& [id, user] : users_) plan_user(user);
}

void SimulatedCluster::submit(User& user) {
    if (user.accepted) return;
    if (!dependencies_accepted(user)) {
        clock_.after(Millis(300), [this, &user] { submit(user); });
        return;
    }
    wire::Writer w;
    wire::encode_job(w, user.spec);
    const auto body = w.take();
    request(rng_() % nodes_.size(), Listener::front, "POST", "/v1/jobs", body,
            [this, &user, body, asked = clock_.now()](const HttpResponse& a) {
                if (a.status == 400 || a.status == 422) {
                    broken("forgotten", user.spec.id.get() + " refused");
                }
                if (a.status != 200 && a.status != 201) return;
                if (options_.severe_faults) repeat_user(user, "/v1/jobs", body);
                const bool first = !user.accepted;
                user.accepted = true;
                if (asked >= user.final_seen_at) record_response(user, a);
                if (first) poll(user);
            });
    clock_.after(Millis(1000 + static_cast<std::int64_t>(rng_() % 500)),
                 [this, &user] { submit(user); });
}

// A submission or cancellation that was carried out comes again, at any node. What it is answered
// must fit what the user was told.
void SimulatedCluster::repeat_user(User& user, const std::string& target, const std::string& body) {
    if (severe_fault_rng_() % 4 != 0) return;
    clock_.after(Millis(static_cast<std::int64_t>(severe_fault_rng_() % 60000)), [this, &user,
                                                                                  target, body] {
        ask_again(user, severe_fault_rng_() % nodes_.size(), "POST", target, body, "repeat");
    });
}

// Whatever is asked about an accepted job, it is known; an answer that was under way while the user
// was told of the end may be the older one.
void SimulatedCluster::ask_again(User& user, std::size_t node, const std::string& method,
                                 const std::string& target, const std::string& body,
                                 const char* when) {
    request(node, Listener::front, method, target, body,
            [this, &user, when, asked = clock_.now()](const HttpResponse& a) {
                if (a.status == 404 || a.status == 400 || a.status == 422) {
                    broken("forgotten", fmt::format("{} ({})", user.spec.id.get(), when));
                }
                if (a.status == 200 && asked >= user.final_seen_at) record_response(user, a);
            });
}

void SimulatedCluster::poll(User& user) {
    // Also after the end: what was told must stay so, at every node.
    request(rng_() % nodes_.size(), Listener::front, "GET", "/v1/jobs/" + user.spec.id.get(), {},
            [this, &user, asked = clock_.now()](const HttpResponse& a) {
                if (a.status == 404) broken("forgotten", user.spec.id.get());
                // An answer under way while the user was told of the end may be the older one.
                if (a.status == 200 && asked >= user.final_seen_at) record_response(user, a);
            });
    const auto pause = user.final ? 20000 : 4000;
    clock_.after(Millis(pause + static_cast<std::int64_t>(rng_() % 1000)),
                 [this, &user] { poll(user); });
}

void SimulatedCluster::abort(User& user) {
    if (user.final) return;
    if (user.accepted) abort_at(user, rng_() % nodes_.size());
    clock_.after(Millis(1500), [this, &user] { abort(user); });
}

void SimulatedCluster::abort_at(User& user, std::size_t node) {
    user.abort_asked = true;
    request(node, Listener::front, "POST", "/v1/jobs/" + user.spec.id.get() + "/abort", {},
            [this, &user](const HttpResponse& a) {
                if (a.status == 404) broken("forgotten", user.spec.id.get() + " (abort)");
                if (a.status != 200) return;
                record_response(user, a);
                if (options_.severe_faults) {
                    repeat_user(user, "/v1/jobs/" + user.spec.id.get() + "/abort", {});
                }
            });
}

void SimulatedCluster::record_response(User& user, const HttpResponse& a) {
    user.last_answer = clock_.now();
    const auto doc = wire::Document::parse(a.body);
    const auto phase = doc->root()["phase"].need_text("phase");
    const auto& id = user.spec.id.get();
    if (user.final && phase != wire::name_of(*user.final)) broken("went_back", id + " " + phase);
    if (phase == "done") {
        if (user.completed.size() < user.spec.task_count) broken("not_done", id);
        if (!user.final) user.final_seen_at = clock_.now();
        user.final = JobPhase::done;
    } else if (phase == "withdrawn") {
        if (!user.abort_asked && dependency_told_cancelled_at(user.spec.id) == Instant::max() &&
            !dependency_abort_asked(user.spec.id)) {
            broken("went_back", id + " was not cancelled by its user");
        }
        if (!user.final) user.final_seen_at = user.cancellation_seen_at = clock_.now();
        user.final = JobPhase::cancelled;
    } else if (clock_.now() - dependency_told_cancelled_at(user.spec.id) >
               config_.cancellation_deadline) {
        broken("orphaned", id + " is called " + phase);
    }
}

bool SimulatedCluster::dependency_abort_asked(const JobId& id) const {
    const auto& dependencies = users_.at(id).spec.waits_on;
    return std::any_of(dependencies.begin(), dependencies.end(), [&](const JobId& need) {
        return users_.at(need).abort_asked || dependency_abort_asked(need);
    });
}

void SimulatedCluster::ask_unknown() {
    request(rng_() % nodes_.size(), Listener::front, "GET", "/v1/jobs/req-999999999", {},
            [this](const HttpResponse& a) {
                if (a.status == 200) broken("invented", "req-999999999");
            });
    clock_.after(Millis(5000), [this] { ask_unknown(); });
}

}  // namespace dunebridge::sim
