#include "workers/heartbeat_processor.hpp"

#include <algorithm>
#include <optional>
#include <utility>

#include "state/fencing_token.hpp"
#include "state/task_ranges.hpp"

namespace dunebridge::workers {

using sansio::LogLevel;
using state::ExitedTask;
using state::Job;
using state::Machine;
using state::make_token;
using state::Placement;
using state::PlacementKey;
using state::StartDelivery;
using state::term_of;
using wire::ExitReason;
using wire::TaskPhase;
using wire::TaskStatus;
using wire::WorkerHeartbeat;

namespace {
// After a worker that refused a task as it had no room.
constexpr Millis kRefusedPause{2000};

bool lists_placement(const WorkerHeartbeat& heartbeat, const Placement& placement) {
    return std::any_of(heartbeat.tasks.begin(), heartbeat.tasks.end(), [&](const TaskStatus& task) {
        return task.attempt == placement.attempt && task.task.index == placement.index &&
               task.task.job == placement.job->spec.id;
    });
}

bool lists_attempt(const WorkerHeartbeat& heartbeat, Attempt attempt) {
    return std::any_of(heartbeat.tasks.begin(), heartbeat.tasks.end(),
                       [&](const TaskStatus& task) { return task.attempt == attempt; });
}
}  // namespace

HeartbeatProcessor::HeartbeatProcessor(sansio::Context& context, coordination::Election& election,
                                       state::ClusterState& cluster_state,
                                       std::function<void(const CompletedTask&)> on_task_completed)
    : context_(context),
      election_(election),
      state_(cluster_state),
      failure_attribution_(context, cluster_state),
      on_task_completed_(std::move(on_task_completed)) {}

bool HeartbeatProcessor::was_placed_in_this_term(const Placement& placement) const {
    return term_of(placement.attempt) == election_.term();
}

bool HeartbeatProcessor::apply(Machine& machine, const WorkerHeartbeat& heartbeat,
                               ExchangeKind exchange) {
    if (heartbeat.token > make_token(election_.term(), machine.worker.fence_counter)) {
        election_.observe_newer_term(term_of(heartbeat.token));
        return false;
    }
    // A report that was held back on its way is older than one already applied.
    if (machine.worker.heartbeat_received && heartbeat.order <= machine.worker.last) return true;
    if (!machine.worker.heartbeat_received) {
        context_.log(LogLevel::info, "event=machine_up host={} type={} after_s={:.1f}",
                     machine.host.get(), machine.machine_type,
                     to_seconds(context_.now() - machine.instance.provisioned_at));
        machine.idle_since = context_.now();
    }
    update_lease(machine, heartbeat);
    update_worker(machine, heartbeat);
    if (heartbeat.eviction_s) apply_preemption_notice(machine, *heartbeat.eviction_s);
    apply_listed_tasks(machine, heartbeat);
    reconcile(machine, heartbeat, exchange);
    return true;
}

void HeartbeatProcessor::update_lease(Machine& machine, const WorkerHeartbeat& heartbeat) {
    auto& worker = machine.worker;
    // A new session has a lease of its own, from when it began: not later than now.
    if (worker.heartbeat_received && heartbeat.order.agent_epoch > worker.last.agent_epoch) {
        worker.last_reply_at = context_.now();
    }
    // Until the worker showed this term, an earlier holder could renew its lease.
    const auto acknowledged_token = term_of(heartbeat.token);
    if (acknowledged_token == election_.term() &&
        term_of(worker.acknowledged_token) != acknowledged_token) {
        worker.last_reply_at = context_.now();
    }
}

void HeartbeatProcessor::update_worker(Machine& machine, const WorkerHeartbeat& heartbeat) {
    machine.worker.heartbeat_received = true;
    state_.describe(machine, heartbeat.machine_type, heartbeat.zone, heartbeat.spot);
    machine.instance.starting = false;
    machine.worker.last = heartbeat.order;
    machine.worker.acknowledged_token = heartbeat.token;
    machine.worker.last_heartbeat_at = context_.now();
    machine.endpoint = heartbeat.endpoint;
}

void HeartbeatProcessor::apply_preemption_notice(Machine& machine, double eviction_s) {
    const auto at = context_.now() + from_seconds(eviction_s);
    if (!machine.preemption_at) {
        context_.log(LogLevel::info, "event=preemption_notice host={} in_s={:.1f}",
                     machine.host.get(), eviction_s);
    }
    machine.preemption_at = machine.preemption_at ? std::min(*machine.preemption_at, at) : at;
}

// ---- what the report lists ----

// It is true whatever the token: an attempt that has exited stays exited.
void HeartbeatProcessor::apply_listed_tasks(Machine& machine, const WorkerHeartbeat& heartbeat) {
    const auto known_exited = std::move(machine.worker.exited);
    machine.worker.exited.clear();
    machine.worker.unrecorded_tasks.clear();
    for (const auto& task : heartbeat.tasks) {
        const Job* job = state_.find_job(task.task.job);
        const auto it =
            job ? machine.tasks.find({job->sequence, task.task.index}) : machine.tasks.end();
        const bool recorded = it != machine.tasks.end() && it->second.attempt == task.attempt;
        auto* placement = recorded ? &it->second : nullptr;
        if (task.phase == TaskPhase::exited) {
            apply_exited(machine, task, placement, known_exited);
        } else {
            apply_present_task(machine, heartbeat, task, placement);
        }
    }
}

void HeartbeatProcessor::apply_present_task(Machine& machine, const WorkerHeartbeat& heartbeat,
                                            const TaskStatus& task, Placement* placement) {
    if (!placement) {
        machine.worker.unrecorded_tasks.push_back({task.task, task.attempt});
        state_.request_commands(machine);
        return;
    }
    placement->seen = true;
    placement->agent_epoch = std::max(placement->agent_epoch, heartbeat.order.agent_epoch);
    placement->phase = task.phase;
    if (task.phase != TaskPhase::running) return;
    state_.set_running(*placement, true);
    machine.images.insert(placement->job->spec.image);
}

void HeartbeatProcessor::apply_exited(Machine& machine, const TaskStatus& task,
                                      Placement* placement, const std::vector<ExitedTask>& known) {
    ExitedTask entry{task.task, task.attempt, {}, 0, 0};
    if (placement) {
        entry.fenced_from = placement->fenced_from;
    } else if (term_of(task.attempt) == election_.term()) {
        entry.fenced_from = machine.worker.fence_counter + 1;
    }
    Job* job = state_.find_job(task.task.job);
    if (job) {
        entry.record = state::progress_key(*job, task.task.index);
        entry.outcome = state_.version();
    }
    for (const auto& earlier : known) {
        if (earlier.task != task.task || earlier.attempt != task.attempt) continue;
        entry.outcome = earlier.outcome;
        entry.fenced_from = earlier.fenced_from;
    }
    if (placement) {
        exited(machine, *placement, task);
        entry.outcome = state_.version();
    } else if (job && task.reason == ExitReason::done) {
        // Completed under a record that an earlier leader no longer held; the result counts.
        state_.mark_done(*job, task.task.index);
        entry.outcome = std::max(entry.outcome, state_.version());
    }
    machine.worker.exited.push_back(std::move(entry));
}

void HeartbeatProcessor::exited(Machine& machine, Placement& placement, const TaskStatus& task) {
    Job& job = *placement.job;
    const auto index = placement.index;
    context_.log(LogLevel::debug, "event=task_exited task={} try={} why={} host={}",
                 task.task.str(), task.attempt.get(), static_cast<int>(task.reason),
                 machine.host.get());
    switch (task.reason) {
        case ExitReason::done:
            if (placement.running_since != Instant{}) {
                on_task_completed_(
                    {&job, &machine, to_seconds(context_.now() - placement.running_since)});
            }
            failure_attribution_.succeeded(job, machine);
            state_.mark_done(job, index);
            break;
        case ExitReason::error:
            failure_attribution_.failed(job, machine);
            break;
        case ExitReason::full:
            machine.worker.refused_until = context_.now() + kRefusedPause;
            break;
        case ExitReason::busy:
        case ExitReason::unknown:
            failure_attribution_.pause(job);
            break;
        default:
            if (placement.preempted) state_.mark_preemption_protected(job, index);
    }
    state_.remove(machine, {job.sequence, index});
}

// ---- what the report lacks ----

// It is proof only if no command of an older token, no direct command under way and no check-in
// answer still to be delivered can yet start the task.
void HeartbeatProcessor::reconcile(Machine& machine, const WorkerHeartbeat& heartbeat,
                                   ExchangeKind exchange) {
    bool answer_lost = false;
    std::vector<PlacementKey> gone;
    for (auto& [key, placement] : machine.tasks) {
        if (!placement.committed) continue;
        const auto finding = assess(machine, placement, heartbeat, exchange);
        if (finding == Finding::gone) gone.push_back(key);
        if (finding != Finding::start_lost) continue;
        placement.sent = StartDelivery::not_sent;  // it may be sent again
        // Only an answer that did not arrive loses a start: the machine is to show the next.
        if (exchange == ExchangeKind::heartbeat && !machine.worker.command_in_flight)
            answer_lost = true;
        state_.request_commands(machine);
    }
    if (answer_lost) ++machine.worker.fence_counter;
    for (const auto& key : gone) state_.remove(machine, key);
}

// A later session has forgotten the tasks of earlier ones, and takes no command of theirs. What an
// earlier leader may have sent to this session counts until it is fenced off.
bool HeartbeatProcessor::is_lost_with_agent_epoch(const Placement& placement,
                                                  const WorkerHeartbeat& heartbeat) const {
    const bool shows_term = term_of(heartbeat.token) == election_.term();
    return placement.agent_epoch != 0 && heartbeat.order.agent_epoch > placement.agent_epoch &&
           (was_placed_in_this_term(placement) || shows_term) &&
           !lists_attempt(heartbeat, placement.attempt);
}

HeartbeatProcessor::Finding HeartbeatProcessor::assess(const Machine& machine, Placement& placement,
                                                       const WorkerHeartbeat& heartbeat,
                                                       ExchangeKind exchange) const {
    if (is_lost_with_agent_epoch(placement, heartbeat)) return Finding::gone;
    if (exchange == ExchangeKind::heartbeat) placement.in_heartbeat_reply = false;
    const auto sent = placement.sent;
    if (sent == StartDelivery::not_sent || sent == StartDelivery::in_direct_command)
        return Finding::unknown;
    // A check-in's answer is read before the next check-in is made, or never: whatever token that
    // one shows, a start it lacks was lost.
    const bool lost_start = !placement.seen && sent == StartDelivery::in_heartbeat_reply &&
                            exchange == ExchangeKind::heartbeat;
    const bool shows_token =
        heartbeat.token == make_token(election_.term(), machine.worker.fence_counter);
    if (!shows_token && !lost_start) return Finding::unknown;
    if (lists_placement(heartbeat, placement)) {
        placement.sent = StartDelivery::awaiting_confirmation;
        return Finding::unknown;
    }
    if (sent == StartDelivery::in_heartbeat_reply && exchange == ExchangeKind::direct_command)
        return Finding::unknown;
    // What an earlier leader has placed is placed anew rather than started: it may have given the
    // room and the quota to others before its end, and had no time to say so on record.
    const bool not_to_start =
        placement.seen || must_stop(placement) || !was_placed_in_this_term(placement);
    return shows_token && not_to_start ? Finding::gone : Finding::start_lost;
}

}  // namespace dunebridge::workers
