#include "provisioning/scale_in.hpp"

#include <algorithm>
#include <iterator>
#include <vector>

namespace dunebridge::provisioning {

using sansio::LogLevel;
using state::JobState;
using state::Machine;

namespace {
constexpr Millis kCheckEvery{250};
constexpr Millis kDeletionRetry{1000};
constexpr std::size_t kMaxHostsPerDeletion = 100;
// Before a machine with tasks is given up as silent.
constexpr int kMissedHeartbeats = 7;
constexpr Millis kSilentMargin{3000};
// Before one without tasks that has never reported in this term is.
constexpr Millis kUnreportedIdle{15000};
// So many silent at once, and more than half, are more likely this node's own trouble.
constexpr std::size_t kManySilent = 3;
// For the command to save to arrive, and a notice that was too long.
constexpr Millis kSaveMargin{3000};
constexpr std::uint32_t kMissingLists = 2;

const char* name_of(ScaleInReason reason) {
    switch (reason) {
        case ScaleInReason::idle:
            return "idle";
        case ScaleInReason::drained:
            return "drained";
        case ScaleInReason::stuck:
            return "stuck";
        case ScaleInReason::failed:
            return "failed";
        case ScaleInReason::taken:
            return "taken";
        case ScaleInReason::unlisted:
            return "unlisted";
        case ScaleInReason::unheard:
            return "unheard";
        case ScaleInReason::silent:
            return "silent";
        case ScaleInReason::unresponsive:
            return "unresponsive";
        case ScaleInReason::cancelled_tasks:
            return "cancelled_tasks";
    }
    return "";
}
}  // namespace

ScaleIn::ScaleIn(sansio::Context& port, CloudClient& cloud, state::ClusterState& cluster_state,
                 const state::WorkerLiveness& liveness, state::ReleasedMachines& released_machines,
                 const state::MachineTypeCatalog& types, const BootMonitor& startups,
                 const config::Config& config)
    : context_(port),
      cloud_(cloud),
      state_(cluster_state),
      liveness_(liveness),
      released_machines_(released_machines),
      types_(types),
      boot_monitor_(startups),
      config_(config) {}

void ScaleIn::reset() {
    released_.clear();
    deleting_ = false;
    next_deletion_ = Instant{};
}

void ScaleIn::release(Machine& machine, ScaleInReason why) {
    if (machine.instance.deleting) return;
    machine.instance.deleting = true;
    released_.insert(machine.host);
    context_.log(LogLevel::info, "event=scale_in host={} type={} tasks={} why={}",
                 machine.host.get(), machine.machine_type, machine.tasks.size(), name_of(why));
}

void ScaleIn::check() {
    if (context_.now() < next_check_) return;
    next_check_ = context_.now() + kCheckEvery;
    count_silent();
    tasks_of_ended_ = std::any_of(state_.jobs().begin(), state_.jobs().end(), [](const auto& j) {
        return j.second.state == JobState::terminal && j.second.placed > 0;
    });
    for (auto& [host, machine] : state_.machines()) check_machine(machine);
}

void ScaleIn::count_silent() {
    std::size_t up = 0;
    std::size_t silent = 0;
    for (const auto& [host, machine] : state_.machines()) {
        if (machine.instance.deleting ||
            (!machine.worker.heartbeat_received && machine.tasks.empty()))
            continue;
        ++up;
        if (liveness_.is_late(machine)) ++silent;
    }
    many_silent_ = silent >= kManySilent && silent * 2 > up;
}

// How long a silent machine with tasks is waited for. A short cut ends by itself and its tasks have
// run on meanwhile; after some missed reports it is quicker to delete the machine, which proves the
// tasks gone, than to wait for a long lease to end.
Millis ScaleIn::patience() const {
    return std::min(
        config_.worker_lease + kSilentMargin,
        std::max(config_.heartbeat_interval * kMissedHeartbeats, config_.worker_lease * 6 / 10));
}

void ScaleIn::check_machine(Machine& machine) {
    if (machine.instance.deleting) return;
    const auto* type = types_.find(machine.machine_type);
    if (type) machine.total = {type->cores, type->accelerators, type->ram_gb};
    if (!machine.worker.heartbeat_received) {
        const auto why = release_reason_without_heartbeat(machine);
        if (why) release(machine, *why);
        return;
    }
    const auto why = release_reason_with_heartbeat(machine);
    if (why) release(machine, *why);
    save_tasks(machine);
    if (holds_cancelled_tasks_too_long(machine)) release(machine, ScaleInReason::cancelled_tasks);
}

// Of a machine that has not reported to this term's leader; none: it is kept.
std::optional<ScaleInReason> ScaleIn::release_reason_without_heartbeat(
    const Machine& machine) const {
    const auto now = context_.now();
    // A new leader has reports only from its own term's start on.
    const auto known = now - machine.worker.first_known_at;
    const bool unlisted = machine.instance.missed_listings >= kMissingLists;
    if (!machine.tasks.empty()) {
        if (unlisted && known > patience()) return ScaleInReason::unlisted;
        if (known <= (many_silent_ ? config_.worker_lease * 2 : patience())) return std::nullopt;
        return ScaleInReason::unheard;
    }
    // Deleted by an earlier leader that did not see it confirmed: the machine list is late.
    if (unlisted && known > config_.machine_list_lag * 3 + kSilentMargin)
        return ScaleInReason::unlisted;
    if (known <= kUnreportedIdle) return std::nullopt;
    if (!machine.instance.starting) return ScaleInReason::unheard;
    const bool stuck = now - machine.instance.provisioned_at > boot_monitor_.boot_timeout(machine);
    return stuck ? std::optional(ScaleInReason::stuck) : std::nullopt;
}

// Of a machine that has reported to this term's leader; none: it is kept.
std::optional<ScaleInReason> ScaleIn::release_reason_with_heartbeat(const Machine& machine) const {
    const bool missed_two = liveness_.is_silent(machine, config_.heartbeat_interval * 2);
    const bool taken = machine.preemption_at && context_.now() > *machine.preemption_at;
    if (taken && missed_two) return ScaleInReason::taken;
    const bool unlisted =
        machine.instance.listed && machine.instance.missed_listings >= kMissingLists;
    if (unlisted && missed_two) return ScaleInReason::unlisted;
    // No command reaches it, and its lease ends by itself.
    if (liveness_.unresponsive_for(machine) > patience()) return ScaleInReason::unresponsive;
    // More likely this node's own trouble than that of so many machines at once.
    if (many_silent_ && !liveness_.is_silent(machine, config_.worker_lease * 2))
        return std::nullopt;
    const auto limit = machine.tasks.empty() ? config_.worker_lease : patience();
    if (liveness_.is_silent(machine, limit)) return ScaleInReason::silent;
    const bool drained = machine.cordoned && machine.tasks.empty();
    return drained ? std::optional(ScaleInReason::drained) : std::nullopt;
}

// Tasks of cancelled jobs must be gone in time, whether the machine can be reached or not.
bool ScaleIn::holds_cancelled_tasks_too_long(const Machine& machine) const {
    if (!tasks_of_ended_) return false;
    const auto longest = config_.cancellation_deadline * 2 / 5;
    return std::any_of(machine.tasks.begin(), machine.tasks.end(), [&](const auto& entry) {
        const auto& job = *entry.second.job;
        return job.state == JobState::terminal && context_.now() - job.terminal_since > longest;
    });
}

// A machine that goes away: tasks that can save do so in time, the others run on while they may.
void ScaleIn::save_tasks(Machine& machine) {
    if (!machine.preemption_at && !machine.cordoned) return;
    for (auto& [key, placement] : machine.tasks) {
        const auto& spec = placement.job->spec;
        const auto grace_s = spec.checkpoint_every_s > 0 ? spec.checkpoint_s : 0.0;
        const auto saved_at = context_.now() + from_seconds(grace_s) + kSaveMargin;
        const bool now_or_never =
            machine.preemption_at && grace_s > 0 && saved_at >= *machine.preemption_at;
        if (machine.cordoned || now_or_never) state_.stop_task(placement, grace_s);
    }
}

void ScaleIn::send_deletions() {
    if (deleting_ || context_.now() < next_deletion_) return;
    if (released_.empty() || !cloud_.take_request()) return;
    const auto count = std::min(released_.size(), kMaxHostsPerDeletion);
    const auto last = std::next(released_.begin(), static_cast<std::ptrdiff_t>(count));
    const std::vector<MachineName> hosts(released_.begin(), last);
    deleting_ = true;
    cloud_.delete_machines(hosts, [this, hosts, generation = state_.generation()](bool deleted) {
        if (!state_.usable_in(generation)) return;
        deleting_ = false;
        if (!deleted) {
            next_deletion_ = context_.now() + kDeletionRetry;
            return;
        }
        for (const auto& host : hosts) {
            released_.erase(host);
            released_machines_.add(host);
            if (auto* machine = state_.find_machine(host)) state_.drop_machine(*machine);
        }
    });
}

}  // namespace dunebridge::provisioning
