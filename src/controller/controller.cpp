#include "controller/controller.hpp"

#include <algorithm>
#include <utility>
#include <variant>

namespace dunebridge::controller {

using sansio::RefusalReason;

namespace {
constexpr Millis kMaxStepInterval{100};
constexpr Millis kMinSchedulingInterval{50};
constexpr Millis kMaxSchedulingInterval{200};
constexpr Millis kMaintenanceInterval{250};
}  // namespace

Controller::Controller(config::Config config, std::uint64_t seed, sansio::LogLevel level)
    : config_(std::move(config)),
      context_(seed, level),
      kv_client_(context_, config_),
      election_(context_, kv_client_, config_),
      cancellation_log_(context_, config_),
      peer_monitor_(
          context_, config_, [this] { return peer_heartbeat_builder_.build(); },
          [this](const JobId& job) { cancellation_broadcast_.record(job); }),
      state_(context_, kv_client_, election_),
      peer_heartbeat_builder_(config_, kv_client_, election_, cancellation_log_, peer_monitor_,
                              state_),
      cancellation_broadcast_(context_, election_, cancellation_log_, peer_monitor_, state_),
      follower_(context_, kv_client_, election_, state_, config_),
      loader_(context_, kv_client_, election_, state_, follower_, config_),
      writer_(context_, kv_client_, election_, state_, config_),
      worker_liveness_(context_, election_, config_),
      released_machines_(context_),
      worker_manager_(context_, election_, state_, worker_liveness_, released_machines_, config_,
                      [this](const workers::CompletedTask& task) {
                          run_time_estimator_.record_run_time(*task.job, task.ran_s);
                      }),
      provisioner_(context_, election_, state_, worker_liveness_, released_machines_,
                   machine_types_, run_time_estimator_, config_),
      scheduler_(context_, state_, worker_liveness_, run_time_estimator_, config_),
      job_service_(
          context_, kv_client_, config_, machine_types_.all(),
          [this](const JobId& job) { return peer_heartbeat_builder_.progress(job); },
          [this](const JobId& job, std::function<void()> on_completed) {
              cancellation_broadcast_.notify_leader(job, std::move(on_completed));
          }),
      leadership_guard_(context_, config_, kv_client_, election_, peer_monitor_, state_),
      heartbeat_relay_(context_, config_, kv_client_, election_, peer_monitor_) {}

sansio::Effects Controller::apply(std::vector<Command>&& batch, Instant now, std::int64_t wall_ms) {
    context_.advance_clock(now, wall_ms);
    context_.clear_wake_time();
    if (leadership_guard_.suspend_leadership_after_stall(last_apply_at_))
        handle_leadership_change();
    last_apply_at_ = now;
    sort_by_priority(batch);
    for (auto& command : batch) handle(std::move(command));
    context_.run_timers();
    update_election();
    handle_leadership_change();
    provisioner_.tick_machine_types();
    const bool maintenance = maintenance_due();
    if (maintenance && election_.is_leader()) leadership_guard_.suspend_leadership_if_isolated();
    if (maintenance && is_active_leader()) leadership_guard_.resign_if_no_worker_heartbeats();
    if (is_active_leader()) run_leader_tasks(maintenance);
    job_service_.tick();
    peer_monitor_.send_due_heartbeats();
    context_.request_wake(now + kMaxStepInterval);
    return context_.take_effects();
}

bool Controller::maintenance_due() {
    if (context_.now() < next_maintenance_at_) return false;
    next_maintenance_at_ = context_.now() + kMaintenanceInterval;
    return true;
}

// ---- requests ----

void Controller::handle(Command&& command) {
    if (const auto* completed = std::get_if<CallCompleted>(&command)) {
        context_.complete(completed->id, completed->result);
        return;
    }
    auto& request = std::get<Request>(command);
    const auto id = request.id;
    std::visit([&](const auto& routed) { handle_request(id, routed); }, route(std::move(request)));
}

void Controller::handle_request(RequestId id, const SubmitJob& request) {
    job_service_.submit(id, request.body);
}

void Controller::handle_request(RequestId id, const PollJob& request) {
    job_service_.poll(id, request.job);
}

void Controller::handle_request(RequestId id, const CancelJob& request) {
    job_service_.cancel(id, request.job);
}

void Controller::handle_request(RequestId id, const sansio::Refusal& refusal) {
    context_.refuse(id, refusal);
}

void Controller::handle_request(RequestId id, const WorkerHeartbeatRequest& request) {
    // A relayed heartbeat must not be relayed again.
    if (!is_active_leader() && request.relayed) {
        context_.refuse(id, RefusalReason::not_the_leader);
        return;
    }
    try {
        const auto document = wire::Document::parse_or_throw(request.body);
        if (is_active_leader()) {
            handle_worker_heartbeat_as_leader(id, document.root());
        } else {
            heartbeat_relay_.handle(id, request.body, document.root());
        }
    } catch (const wire::DecodeError& e) {
        context_.refuse(id, {RefusalReason::malformed, e.what()});
    }
}

void Controller::handle_worker_heartbeat_as_leader(RequestId id, wire::Value body) {
    const auto heartbeat = wire::decode_worker_heartbeat(body);
    // The response to a heartbeat renews the worker's lease.
    if (leadership_guard_.may_renew_leases(follower_.terminal_records_read_at())) {
        worker_manager_.handle_heartbeat(id, heartbeat);
    } else {
        context_.refuse(id, RefusalReason::cancellations_unknown);
    }
}

void Controller::handle_request(RequestId id, const PeerHeartbeatRequest& request) {
    try {
        const auto document = wire::Document::parse_or_throw(request.body);
        peer_monitor_.record_heartbeat(coordination::decode_peer_heartbeat(document.root()));
        context_.respond(id, sansio::kHttpOk,
                         coordination::encode(peer_heartbeat_builder_.build()));
    } catch (const wire::DecodeError& e) {
        context_.log(sansio::LogLevel::error, "event=invalid_peer_heartbeat error=\"{}\"",
                     e.what());
        context_.refuse(id, {RefusalReason::malformed, e.what()});
    }
}

void Controller::handle_request(RequestId id, const ReadinessProbe& /*probe*/) {
    if (ready()) {
        context_.respond(id, sansio::kHttpOk, wire::Writer().map(0).take());
    } else {
        context_.refuse(id, RefusalReason::not_ready);
    }
}

// While no controller reaches the key-value store, all of them report that they are ready: taking
// them out of service would only lengthen the outage for the users. If a peer does reach the store,
// this controller is not ready, so that the peer serves the requests.
bool Controller::ready() const {
    if (machine_types_.empty()) return false;
    return kv_client_.reachable() || !peer_monitor_.kv_reachable_by_a_peer();
}

// ---- leadership ----

void Controller::update_election() {
    if (peer_monitor_.highest_term() > election_.term())
        election_.observe_newer_term(peer_monitor_.highest_term());
    // If the key-value store is unreachable only from here, another controller should lead.
    kv_client_.probe_if_idle();
    election_.set_eligible(kv_client_.reachable());
    election_.poll();
}

void Controller::handle_leadership_change() {
    const bool is_leader = election_.is_leader();
    if (is_leader && (!was_leader_ || started_generation_ != election_.generation())) {
        begin_term();
    } else if (!is_leader && was_leader_) {
        end_term();
    }
    was_leader_ = is_leader;
}

void Controller::begin_term() {
    started_generation_ = election_.generation();
    released_machines_.clear();
    worker_manager_.reset();
    provisioner_.reset();
    writer_.reset();
    loader_.load();
    peer_monitor_.broadcast_soon();
}

void Controller::end_term() {
    state_.clear();
    writer_.reset();
    peer_monitor_.broadcast_soon();
}

// Adds to the loaded cluster state what this controller knows from other sources: cancellations
// that were reported before the state was loaded, and the previous leader's faulty jobs. Takes
// effect once per generation.
void Controller::complete_failover() {
    if (completed_failover_generation_ == started_generation_) return;
    completed_failover_generation_ = started_generation_;
    cancellation_broadcast_.apply_log();
    peer_heartbeat_builder_.restore_faulty_jobs();
}

// ---- work done only by the leader ----

void Controller::run_leader_tasks(bool maintenance) {
    complete_failover();
    if (maintenance) state_.adopt_format(peer_heartbeat_builder_.common_record_format());
    provisioner_.tick();
    schedule_if_due();
    worker_manager_.tick();
    if (maintenance) state_.forget_terminal_jobs();
    writer_.flush();
}

void Controller::schedule_if_due() {
    if (context_.now() < next_scheduling_at_) {
        context_.request_wake(next_scheduling_at_);
        return;
    }
    // With very many pending jobs, the machines are full and a scheduling pass takes long, so
    // passes may be less frequent.
    const auto pending_jobs = static_cast<std::int64_t>(scheduler_.run());
    next_scheduling_at_ =
        context_.now() +
        std::clamp(Millis(pending_jobs / 2), kMinSchedulingInterval, kMaxSchedulingInterval);
}

}  // namespace dunebridge::controller
