#include "controller/controller.hpp"

#include <algorithm>

#include "config/record_format.hpp"

namespace dunebridge::controller {

namespace {
constexpr Millis kTick{100};
constexpr Millis kScheduleEvery{50};
constexpr Millis kScheduleMost{200};
constexpr Millis kUpkeepEvery{250};

// What is taken first of what has come together, the least first: what leases and leadership depend
// on, then cancellations, submissions, and what is only asked.
enum class Urgency : std::uint8_t { reply, peer, report, cancellation, submission, question };

Urgency urgency_of(const Command& command) {
    const auto* request = std::get_if<Request>(&command);
    if (!request) return Urgency::reply;
    if (request->plane == Plane::back) return Urgency::peer;
    if (request->target == "/checkin") return Urgency::report;
    if (request->method != "POST") return Urgency::question;
    return request->target.ends_with("/abort") ? Urgency::cancellation : Urgency::submission;
}

void sort_by_urgency(std::vector<Command>& batch) {
    std::stable_sort(batch.begin(), batch.end(), [](const Command& a, const Command& b) {
        return urgency_of(a) < urgency_of(b);
    });
}
}  // namespace

Core::Core(config::Config config, std::uint64_t seed, sansio::LogLevel level)
    : config_(std::move(config)),
      port_(seed, level),
      store_(port_, config_),
      election_(port_, store_, config_),
      cancellations_(port_, config_),
      peers_(
          port_, config_, [this] { return heartbeat(); },
          [this](const JobId& id) { cancelled(id); }),
      ledger_(port_, store_, election_),
      loader_(port_, store_, election_, ledger_, config_),
      committer_(port_, store_, election_, ledger_, config_),
      workers_(
          port_, election_, ledger_, config_,
          [this](const workers::Finished& f) { provisioner_.run_times().learn(*f.job, f.ran_s); }),
      provisioner_(port_, election_, ledger_, workers_, config_),
      scheduler_(port_, ledger_, workers_, provisioner_.run_times(), config_),
      jobs_(
          port_, store_, config_, provisioner_.types(),
          [this](const JobId& id) { return progress(id); },
          [this](const JobId& id, std::function<void()> then) { announce(id, std::move(then)); }),
      rules_(port_, config_, store_, election_, peers_, ledger_),
      relay_(port_, config_, store_, election_, peers_) {}

sansio::Effects Core::apply(std::vector<Command>&& batch, Instant now, std::int64_t wall_ms) {
    port_.set_time(now, wall_ms);
    port_.reset_wake();
    if (rules_.step_back_after_stall(last_apply_)) follow_leadership();
    last_apply_ = now;
    sort_by_urgency(batch);
    for (auto& command : batch) {
        if (auto* request = std::get_if<Request>(&command)) {
            handle(std::move(*request));
        } else {
            const auto& done = std::get<CallDone>(command);
            port_.complete(done.id, done.reply);
        }
    }
    port_.run_timers();
    if (peers_.highest_term() > election_.term()) election_.depose(peers_.highest_term());
    // Where the state service serves others but not this node, another should lead.
    store_.tick();
    election_.set_eligible(store_.reachable());
    election_.tick();
    follow_leadership();
    provisioner_.tick_types();
    const bool upkeep = now >= next_upkeep_;
    if (upkeep) next_upkeep_ = now + kUpkeepEvery;
    if (upkeep && election_.is_leader()) rules_.step_back_if_isolated();
    if (upkeep && leads()) rules_.resign_if_unreached();
    if (leads()) {
        take_over();
        if (upkeep) ledger_.use_format(format_of_all());
        provisioner_.tick();
        schedule();
        workers_.tick();
        if (upkeep) ledger_.forget_ended_jobs();
        committer_.flush();
    }
    jobs_.tick();
    peers_.tick();
    port_.wake_at(now + kTick);
    return port_.take();
}

void Core::follow_leadership() {
    const bool leads_now = election_.is_leader();
    if (leads_now && (!led_ || generation_ != election_.generation())) {
        generation_ = election_.generation();
        workers_.reset();
        provisioner_.reset();
        committer_.reset();
        loader_.load();
        peers_.send_soon();
    } else if (!leads_now && led_) {
        ledger_.clear();
        committer_.reset();
        peers_.send_soon();
    }
    led_ = leads_now;
}

// ---- requests ----

void Core::handle(Request&& request) {
    if (request.too_large) {
        port_.answer(request.id, 400, wire::encode_error("body too large"));
        return;
    }
    if (request.plane == Plane::back) {
        handle_back(request);
        return;
    }
    const auto path = request.target.substr(0, request.target.find('?'));
    constexpr std::string_view jobs = "/v1/jobs";
    const auto only = [&](std::string_view method) {
        if (request.method == method) return true;
        port_.answer(request.id, 405, wire::encode_error("method not allowed"));
        return false;
    };
    if (path == "/ready") {
        if (only("GET")) handle_ready(request);
    } else if (path == "/checkin") {
        if (only("POST")) handle_checkin(request);
    } else if (path == jobs) {
        if (only("POST")) jobs_.submit(request.id, request.body);
    } else if (path.starts_with(jobs) && path[jobs.size()] == '/') {
        handle_job(request, path.substr(jobs.size() + 1));
    } else {
        port_.answer(request.id, 404, wire::encode_error("no such path"));
    }
}

void Core::handle_job(const Request& request, const std::string& rest) {
    const auto slash = rest.find('/');
    const auto id = rest.substr(0, slash);
    const bool abort = slash != std::string::npos && rest.substr(slash) == "/abort";
    if (slash != std::string::npos && !abort) {
        port_.answer(request.id, 404, wire::encode_error("no such path"));
    } else if (request.method != (abort ? "POST" : "GET")) {
        port_.answer(request.id, 405, wire::encode_error("method not allowed"));
    } else if (!wire::valid_job_id(id)) {
        // No job can have such an id.
        port_.answer(request.id, 404, wire::encode_error("no such job"));
    } else if (abort) {
        jobs_.cancel(request.id, JobId(id));
    } else {
        jobs_.poll(request.id, JobId(id));
    }
}

void Core::handle_back(const Request& request) {
    if (request.method == "POST" && request.target == "/checkin") {
        handle_checkin(request);
        return;
    }
    if (request.method != "POST" || request.target != "/hello") {
        port_.answer(request.id, 404, wire::encode_error("no such path"));
        return;
    }
    try {
        const auto doc = wire::Document::need(request.body);
        peers_.heard(coordination::decode_heartbeat(doc.root()));
        port_.answer(request.id, 200, coordination::encode(heartbeat()));
    } catch (const wire::DecodeError& e) {
        port_.log(sansio::LogLevel::error, "event=bad_heartbeat error=\"{}\"", e.what());
        port_.answer(request.id, 400, wire::encode_error(e.what()));
    }
}

void Core::handle_checkin(const Request& request) {
    if (!leads() && request.plane == Plane::back) {
        port_.answer(request.id, 503, wire::encode_error("not the leader"), 1);
        return;
    }
    try {
        const auto doc = wire::Document::need(request.body);
        if (leads()) {
            const auto report = wire::decode_report(doc.root());
            if (rules_.may_renew_leases(loader_.ends_read_at())) {
                workers_.checkin(request.id, report);
            } else {
                port_.answer(request.id, 503, wire::encode_error("cancellations not known"), 1);
            }
            return;
        }
        relay_.handle(request.id, request.body, doc.root());
    } catch (const wire::DecodeError& e) {
        port_.answer(request.id, 400, wire::encode_error(e.what()));
    }
}

// ---- cancellations ----

// A committed end is true whoever reports it: the leader stops the tasks without reading it.
void Core::cancelled(const JobId& id) {
    if (!cancellations_.add(id) || !leads()) return;
    cancel_in_ledger(id);
}

void Core::cancel_in_ledger(const JobId& id) {
    ledger_.mark_cancelled(id, port_.wall_ms());
    ledger_.ended(id, wire::JobPhase::cancelled);
}

// The peer that leads, empty if there is none or it is this node. One that has just been elected
// says so only once it has read the ledger, and starts tasks in the next moment.
NodeName Core::leader_to_tell() const {
    if (election_.is_leader()) return NodeName();
    const auto leader = peers_.leader();
    return leader.get().empty() ? election_.seen_leader() : leader;
}

// The leader is to know before the user does, so that nothing starts after it; if it does not
// answer, its power to renew is bounded all the same.
void Core::announce(const JobId& id, std::function<void()> then) {
    cancelled(id);
    const auto leader = leader_to_tell();
    leader.get().empty() ? then() : peers_.send_heartbeat(leader, std::move(then));
}

// What this node knows besides the ledger that it has just loaded.
void Core::take_over() {
    if (taken_over_ == generation_) return;
    taken_over_ = generation_;
    apply_cancellations();
    restore_faulty_jobs();
}

// Those that were reported before the ledger was loaded.
void Core::apply_cancellations() {
    for (const auto& id : cancellations_.kept().jobs) cancel_in_ledger(id);
}

// Jobs that failed everywhere under the leader before are not tried at full width once more. It is
// advice: one that has recovered shows it with its first success.
void Core::restore_faulty_jobs() {
    const auto restore = [this](const std::vector<JobId>& ids) {
        for (const auto& id : ids) {
            if (auto* job = ledger_.find_job(id)) job->failures.faulty = true;
        }
    };
    restore(own_faulty_jobs_);
    restore(peers_.faulty_jobs());
}

std::vector<JobId> Core::faulty_jobs() {
    std::vector<JobId> faulty;
    for (const auto& [id, job] : ledger_.jobs()) {
        if (job.state == state::JobState::open && job.failures.faulty) faulty.push_back(id);
    }
    return faulty;
}

void Core::handle_ready(const Request& request) {
    ready() ? port_.answer(request.id, 200, wire::Writer().map(0).take())
            : port_.answer(request.id, 503, wire::encode_error("not ready"), 1);
}

// In an outage of the state service every node is as good as any other and says so: going away
// would only lengthen the outage for the users. Where others are served, they should take over.
bool Core::ready() const {
    if (provisioner_.types().empty()) return false;
    return store_.reachable() || !peers_.state_reachable_elsewhere();
}

// The newest format of the ledger that every controller has shown to know.
std::uint64_t Core::format_of_all() const {
    auto format = config_.format;
    while (format > config::kChunkFormat && !peers_.all_know(format)) --format;
    return format;
}

// ---- peers ----

coordination::Heartbeat Core::heartbeat() {
    coordination::Heartbeat heartbeat;
    heartbeat.node = config_.name;
    heartbeat.leads = leads();
    heartbeat.term = election_.is_leader() ? election_.term() : peers_.highest_term();
    heartbeat.state_reachable = store_.reachable();
    heartbeat.format = config_.format;
    heartbeat.cancellations = cancellations_.kept();
    if (!heartbeat.leads) return heartbeat;
    own_faulty_jobs_ = faulty_jobs();
    // Written only once every controller knows this version.
    if (format_of_all() == config_.format) heartbeat.faulty_jobs = own_faulty_jobs_;
    for (const auto& [id, job] : ledger_.jobs()) {
        if (job.state == state::JobState::open && (job.done > 0 || job.running > 0)) {
            heartbeat.progress.push_back({id, job.done, job.running});
        }
    }
    return heartbeat;
}

coordination::Progress Core::progress(const JobId& id) {
    if (leads()) {
        const auto* job = ledger_.find_job(id);
        return job ? coordination::Progress{id, job->done, job->running}
                   : coordination::Progress{id, 0, 0};
    }
    const auto it = peers_.progress().find(id);
    return it == peers_.progress().end() ? coordination::Progress{id, 0, 0} : it->second;
}

// ---- placement ----

void Core::schedule() {
    if (port_.now() < next_schedule_) {
        port_.wake_at(next_schedule_);
        return;
    }
    // Where very many jobs wait, machines are full and passes are long: they may be fewer.
    const auto waiting = static_cast<std::int64_t>(scheduler_.run());
    next_schedule_ = port_.now() + std::clamp(Millis(waiting / 2), kScheduleEvery, kScheduleMost);
}

}  // namespace dunebridge::controller
