#include "controller/controller.hpp"

#include <algorithm>

#include "config/record_format.hpp"

namespace dunebridge::controller {

using sansio::RefusalReason;

namespace {
constexpr Millis kTick{100};
constexpr Millis kScheduleEvery{50};
constexpr Millis kScheduleMost{200};
constexpr Millis kUpkeepEvery{250};

// What is taken first of what has come together, the least first: what leases and leadership depend
// on, then cancellations, submissions, and what is only asked.
enum class Urgency : std::uint8_t { reply, peer, heartbeat, cancellation, submission, question };

Urgency urgency_of(const Command& command) {
    const auto* request = std::get_if<Request>(&command);
    if (!request) return Urgency::reply;
    if (request->plane == Listener::back) return Urgency::peer;
    if (request->target == "/checkin") return Urgency::heartbeat;
    if (request->method != "POST") return Urgency::question;
    return request->target.ends_with("/abort") ? Urgency::cancellation : Urgency::submission;
}

void sort_by_urgency(std::vector<Command>& batch) {
    std::stable_sort(batch.begin(), batch.end(), [](const Command& a, const Command& b) {
        return urgency_of(a) < urgency_of(b);
    });
}
}  // namespace

Controller::Controller(config::Config config, std::uint64_t seed, sansio::LogLevel level)
    : config_(std::move(config)),
      context_(seed, level),
      kv_client_(context_, config_),
      election_(context_, kv_client_, config_),
      cancellations_(context_, config_),
      peer_monitor_(
          context_, config_, [this] { return heartbeat(); },
          [this](const JobId& id) { cancelled(id); }),
      state_(context_, kv_client_, election_),
      follower_(context_, kv_client_, election_, state_, config_),
      loader_(context_, kv_client_, election_, state_, follower_, config_),
      writer_(context_, kv_client_, election_, state_, config_),
      worker_liveness_(context_, election_, config_),
      released_machines_(context_),
      workers_(context_, election_, state_, worker_liveness_, released_machines_, config_,
               [this](const workers::CompletedTask& task) {
                   run_time_estimator_.learn(*task.job, task.ran_s);
               }),
      provisioner_(context_, election_, state_, worker_liveness_, released_machines_,
                   machine_types_, run_time_estimator_, config_),
      scheduler_(context_, state_, worker_liveness_, run_time_estimator_, config_),
      jobs_(
          context_, kv_client_, config_, machine_types_.all(),
          [this](const JobId& id) { return progress(id); },
          [this](const JobId& id, std::function<void()> then) {
              broadcast_cancellation(id, std::move(then));
          }),
      leadership_guard_(context_, config_, kv_client_, election_, peer_monitor_, state_),
      heartbeat_relay_(context_, config_, kv_client_, election_, peer_monitor_) {}

sansio::Effects Controller::apply(std::vector<Command>&& batch, Instant now, std::int64_t wall_ms) {
    context_.advance_clock(now, wall_ms);
    context_.clear_wake_time();
    if (leadership_guard_.suspend_leadership_after_stall(last_apply_)) handle_leadership_change();
    last_apply_ = now;
    sort_by_urgency(batch);
    for (auto& command : batch) {
        if (auto* request = std::get_if<Request>(&command)) {
            handle(std::move(*request));
        } else {
            const auto& done = std::get<CallCompleted>(command);
            context_.complete(done.id, done.reply);
        }
    }
    context_.run_timers();
    if (peer_monitor_.highest_term() > election_.term())
        election_.observe_newer_term(peer_monitor_.highest_term());
    // Where the state service serves others but not this node, another should lead.
    kv_client_.probe_if_idle();
    election_.set_eligible(kv_client_.reachable());
    election_.poll();
    handle_leadership_change();
    provisioner_.tick_machine_types();
    const bool upkeep = now >= next_upkeep_;
    if (upkeep) next_upkeep_ = now + kUpkeepEvery;
    if (upkeep && election_.is_leader()) leadership_guard_.suspend_leadership_if_isolated();
    if (upkeep && leads()) leadership_guard_.resign_if_no_worker_heartbeats();
    if (leads()) {
        complete_failover();
        if (upkeep) state_.adopt_format(common_record_format());
        provisioner_.tick();
        schedule();
        workers_.tick();
        if (upkeep) state_.forget_terminal_jobs();
        writer_.flush();
    }
    jobs_.tick();
    peer_monitor_.send_due_heartbeats();
    context_.request_wake(now + kTick);
    return context_.take();
}

void Controller::handle_leadership_change() {
    const bool leads_now = election_.is_leader();
    if (leads_now && (!led_ || generation_ != election_.generation())) {
        generation_ = election_.generation();
        released_machines_.clear();
        workers_.reset();
        provisioner_.reset();
        writer_.reset();
        loader_.load();
        peer_monitor_.broadcast_soon();
    } else if (!leads_now && led_) {
        state_.clear();
        writer_.reset();
        peer_monitor_.broadcast_soon();
    }
    led_ = leads_now;
}

// ---- requests ----

void Controller::handle(Request&& request) {
    if (request.too_large) {
        context_.refuse(request.id, RefusalReason::body_too_large);
        return;
    }
    if (request.plane == Listener::back) {
        handle_peer_request(request);
        return;
    }
    const auto path = request.target.substr(0, request.target.find('?'));
    constexpr std::string_view jobs = "/v1/jobs";
    const auto only = [&](std::string_view method) {
        if (request.method == method) return true;
        context_.refuse(request.id, RefusalReason::method_not_allowed);
        return false;
    };
    if (path == "/ready") {
        if (only("GET")) handle_readiness(request);
    } else if (path == "/checkin") {
        if (only("POST")) handle_worker_heartbeat(request);
    } else if (path == jobs) {
        if (only("POST")) jobs_.submit(request.id, request.body);
    } else if (path.starts_with(jobs) && path[jobs.size()] == '/') {
        handle_job(request, path.substr(jobs.size() + 1));
    } else {
        context_.refuse(request.id, RefusalReason::no_such_path);
    }
}

void Controller::handle_job(const Request& request, const std::string& rest) {
    const auto slash = rest.find('/');
    const auto id = rest.substr(0, slash);
    const bool abort = slash != std::string::npos && rest.substr(slash) == "/abort";
    if (slash != std::string::npos && !abort) {
        context_.refuse(request.id, RefusalReason::no_such_path);
    } else if (request.method != (abort ? "POST" : "GET")) {
        context_.refuse(request.id, RefusalReason::method_not_allowed);
    } else if (!wire::valid_job_id(id)) {
        // No job can have such an id.
        context_.refuse(request.id, RefusalReason::no_such_job);
    } else if (abort) {
        jobs_.cancel(request.id, JobId(id));
    } else {
        jobs_.poll(request.id, JobId(id));
    }
}

void Controller::handle_peer_request(const Request& request) {
    if (request.method == "POST" && request.target == "/checkin") {
        handle_worker_heartbeat(request);
        return;
    }
    if (request.method != "POST" || request.target != "/hello") {
        context_.refuse(request.id, RefusalReason::no_such_path);
        return;
    }
    try {
        const auto doc = wire::Document::need(request.body);
        peer_monitor_.record_heartbeat(coordination::decode_peer_heartbeat(doc.root()));
        context_.respond(request.id, 200, coordination::encode(heartbeat()));
    } catch (const wire::DecodeError& e) {
        context_.log(sansio::LogLevel::error, "event=invalid_peer_heartbeat error=\"{}\"",
                     e.what());
        context_.refuse(request.id, {RefusalReason::malformed, e.what()});
    }
}

void Controller::handle_worker_heartbeat(const Request& request) {
    if (!leads() && request.plane == Listener::back) {
        context_.refuse(request.id, RefusalReason::not_the_leader);
        return;
    }
    try {
        const auto doc = wire::Document::need(request.body);
        if (leads()) {
            const auto heartbeat = wire::decode_worker_heartbeat(doc.root());
            if (leadership_guard_.may_renew_leases(follower_.terminal_records_read_at())) {
                workers_.handle_heartbeat(request.id, heartbeat);
            } else {
                context_.refuse(request.id, RefusalReason::cancellations_unknown);
            }
            return;
        }
        heartbeat_relay_.handle(request.id, request.body, doc.root());
    } catch (const wire::DecodeError& e) {
        context_.refuse(request.id, {RefusalReason::malformed, e.what()});
    }
}

// ---- cancellations ----

// A committed end is true whoever reports it: the leader stops the tasks without reading it.
void Controller::cancelled(const JobId& id) {
    if (!cancellations_.append(id) || !leads()) return;
    cancel_in_state(id);
}

void Controller::cancel_in_state(const JobId& id) {
    state_.mark_cancelled(id, context_.wall_ms());
    state_.ended(id, wire::JobPhase::cancelled);
}

// The peer that leads, empty if there is none or it is this node. One that has just been elected
// says so only once it has read the ledger, and starts tasks in the next moment.
ControllerName Controller::leader_to_notify() const {
    if (election_.is_leader()) return ControllerName();
    const auto leader = peer_monitor_.leader();
    return leader.get().empty() ? election_.observed_leader() : leader;
}

// The leader is to know before the user does, so that nothing starts after it; if it does not
// answer, its power to renew is bounded all the same.
void Controller::broadcast_cancellation(const JobId& id, std::function<void()> then) {
    cancelled(id);
    const auto leader = leader_to_notify();
    leader.get().empty() ? then() : peer_monitor_.send_heartbeat(leader, std::move(then));
}

// What this node knows besides the ledger that it has just loaded.
void Controller::complete_failover() {
    if (failover_completed_ == generation_) return;
    failover_completed_ = generation_;
    apply_cancellations();
    restore_faulty_jobs();
}

// Those that were reported before the ledger was loaded.
void Controller::apply_cancellations() {
    for (const auto& id : cancellations_.retained().jobs) cancel_in_state(id);
}

// Jobs that failed everywhere under the leader before are not tried at full width once more. It is
// advice: one that has recovered shows it with its first success.
void Controller::restore_faulty_jobs() {
    const auto restore = [this](const std::vector<JobId>& ids) {
        for (const auto& id : ids) {
            if (auto* job = state_.find_job(id)) job->failures.faulty = true;
        }
    };
    restore(own_faulty_jobs_);
    restore(peer_monitor_.faulty_jobs());
}

std::vector<JobId> Controller::faulty_jobs() {
    std::vector<JobId> faulty;
    for (const auto& [id, job] : state_.jobs()) {
        if (job.state == state::JobState::active && job.failures.faulty) faulty.push_back(id);
    }
    return faulty;
}

void Controller::handle_readiness(const Request& request) {
    ready() ? context_.respond(request.id, 200, wire::Writer().map(0).take())
            : context_.refuse(request.id, RefusalReason::not_ready);
}

// In an outage of the state service every node is as good as any other and says so: going away
// would only lengthen the outage for the users. Where others are served, they should take over.
bool Controller::ready() const {
    if (machine_types_.empty()) return false;
    return kv_client_.reachable() || !peer_monitor_.kv_reachable_by_a_peer();
}

// The newest format of the ledger that every controller has shown to know.
std::uint64_t Controller::common_record_format() const {
    auto format = config_.newest_record_format;
    while (format > config::kChunkFormat && !peer_monitor_.all_peers_support(format)) --format;
    return format;
}

// ---- peers ----

coordination::PeerHeartbeat Controller::heartbeat() {
    coordination::PeerHeartbeat heartbeat;
    heartbeat.node = config_.name;
    heartbeat.leads = leads();
    heartbeat.term = election_.is_leader() ? election_.term() : peer_monitor_.highest_term();
    heartbeat.kv_reachable = kv_client_.reachable();
    heartbeat.format = config_.newest_record_format;
    heartbeat.cancellations = cancellations_.retained();
    if (!heartbeat.leads) return heartbeat;
    own_faulty_jobs_ = faulty_jobs();
    // Written only once every controller knows this version.
    if (common_record_format() == config_.newest_record_format)
        heartbeat.faulty_jobs = own_faulty_jobs_;
    for (const auto& [id, job] : state_.jobs()) {
        if (job.state == state::JobState::active && (job.done > 0 || job.running > 0)) {
            heartbeat.progress.push_back({id, job.done, job.running});
        }
    }
    return heartbeat;
}

coordination::JobProgress Controller::progress(const JobId& id) {
    if (leads()) {
        const auto* job = state_.find_job(id);
        return job ? coordination::JobProgress{id, job->done, job->running}
                   : coordination::JobProgress{id, 0, 0};
    }
    const auto it = peer_monitor_.progress().find(id);
    return it == peer_monitor_.progress().end() ? coordination::JobProgress{id, 0, 0} : it->second;
}

// ---- placement ----

void Controller::schedule() {
    if (context_.now() < next_schedule_) {
        context_.request_wake(next_schedule_);
        return;
    }
    // Where very many jobs wait, machines are full and passes are long: they may be fewer.
    const auto waiting = static_cast<std::int64_t>(scheduler_.run());
    next_schedule_ =
        context_.now() + std::clamp(Millis(waiting / 2), kScheduleEvery, kScheduleMost);
}

}  // namespace dunebridge::controller
