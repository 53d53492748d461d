#include "provisioning/release_policy.hpp"

#include <algorithm>
#include <cstddef>

namespace dunebridge::provisioning {

using state::JobState;
using state::Machine;

namespace {
// A machine with tasks is released only after it has missed this number of heartbeats, unless its
// lease has expired before.
constexpr int kMinMissedHeartbeats = 7;
constexpr Millis kSilenceMargin{3000};
// Time for a machine without tasks to send its first heartbeat to this term's leader.
constexpr Millis kFirstHeartbeatTimeout{15000};
// If at least this number of machines, and more than half of the fleet, are silent at once, the
// cause is more likely the network of this controller.
constexpr std::size_t kMinSilentMachines = 3;
// The cloud's list lags behind: a machine counts as missing only after this number of lists in a
// row without it.
constexpr std::uint32_t kMinMissedListings = 2;
}  // namespace

const char* to_string(ScaleInReason reason) {
    switch (reason) {
        case ScaleInReason::idle:
            return "idle";
        case ScaleInReason::drained:
            return "drained";
        case ScaleInReason::boot_timeout:
            return "boot_timeout";
        case ScaleInReason::failed:
            return "failed";
        case ScaleInReason::preempted:
            return "preempted";
        case ScaleInReason::missing_from_list:
            return "missing_from_list";
        case ScaleInReason::no_heartbeat_this_term:
            return "no_heartbeat_this_term";
        case ScaleInReason::heartbeats_lost:
            return "heartbeats_lost";
        case ScaleInReason::replies_unacknowledged:
            return "replies_unacknowledged";
        case ScaleInReason::cancellation_unconfirmed:
            return "cancellation_unconfirmed";
    }
    return "";
}

void ReleasePolicy::observe_fleet() {
    std::size_t machine_count = 0;
    std::size_t silent = 0;
    for (const auto& [host, machine] : state_.machines()) {
        const bool unseen_and_empty =
            !machine.worker.heartbeat_received && machine.placements.empty();
        if (machine.instance.deleting || unseen_and_empty) continue;
        ++machine_count;
        if (liveness_.is_late(machine)) ++silent;
    }
    most_machines_silent_ = silent >= kMinSilentMachines && silent * 2 > machine_count;
    const auto& jobs = state_.jobs();
    ended_jobs_hold_tasks_ = std::any_of(jobs.begin(), jobs.end(), [](const auto& entry) {
        return entry.second.state == JobState::terminal && entry.second.placed_count > 0;
    });
}

std::optional<ScaleInReason> ReleasePolicy::reason_to_release(const Machine& machine) const {
    if (machine.worker.heartbeat_received) return reason_with_heartbeat(machine);
    return reason_without_heartbeat(machine);
}

// Returns how long a machine with tasks may be silent before it is released. A short network
// failure ends without intervention, and the tasks continue to run during it. After several missed
// heartbeats, deleting the machine, which proves that its tasks have stopped, is faster than
// waiting for a long lease to expire.
Millis ReleasePolicy::silence_limit() const {
    return std::min(
        config_.worker_lease + kSilenceMargin,
        std::max(config_.heartbeat_interval * kMinMissedHeartbeats, config_.worker_lease * 6 / 10));
}

std::optional<ScaleInReason> ReleasePolicy::reason_without_heartbeat(const Machine& machine) const {
    if (machine.placements.empty()) return reason_without_heartbeat_or_tasks(machine);
    // A new leader has received heartbeats only since its own term began.
    const auto known_for = context_.now() - machine.worker.first_known_at;
    const bool missing = machine.instance.missed_listings >= kMinMissedListings;
    if (missing && known_for > silence_limit()) return ScaleInReason::missing_from_list;
    const auto limit = most_machines_silent_ ? config_.worker_lease * 2 : silence_limit();
    if (known_for <= limit) return std::nullopt;
    return ScaleInReason::no_heartbeat_this_term;
}

std::optional<ScaleInReason> ReleasePolicy::reason_without_heartbeat_or_tasks(
    const Machine& machine) const {
    const auto known_for = context_.now() - machine.worker.first_known_at;
    const bool missing = machine.instance.missed_listings >= kMinMissedListings;
    // An earlier leader may have deleted the machine without receiving the confirmation. As the
    // list lags behind, a missing row counts only after several times the lag.
    const auto list_limit = config_.machine_list_lag * 3 + kSilenceMargin;
    if (missing && known_for > list_limit) return ScaleInReason::missing_from_list;
    if (known_for <= kFirstHeartbeatTimeout) return std::nullopt;
    if (!machine.instance.starting) return ScaleInReason::no_heartbeat_this_term;
    const auto booting_for = context_.now() - machine.instance.provisioned_at;
    if (booting_for <= boot_monitor_.boot_timeout(machine)) return std::nullopt;
    return ScaleInReason::boot_timeout;
}

std::optional<ScaleInReason> ReleasePolicy::reason_with_heartbeat(const Machine& machine) const {
    const bool missed_two = liveness_.is_silent(machine, config_.heartbeat_interval * 2);
    const bool preempted =
        machine.worker.preemption_at && context_.now() > *machine.worker.preemption_at;
    if (preempted && missed_two) return ScaleInReason::preempted;
    const auto& instance = machine.instance;
    const bool missing = instance.listed && instance.missed_listings >= kMinMissedListings;
    if (missing && missed_two) return ScaleInReason::missing_from_list;
    // Without acknowledged replies, no command reaches the machine and its lease is not renewed.
    if (liveness_.unresponsive_for(machine) > silence_limit()) {
        return ScaleInReason::replies_unacknowledged;
    }
    // It is more likely that this controller's network has failed than that most machines have
    // failed at once.
    const bool lease_long_expired = liveness_.is_silent(machine, config_.worker_lease * 2);
    if (most_machines_silent_ && !lease_long_expired) return std::nullopt;
    const auto limit = machine.placements.empty() ? config_.worker_lease : silence_limit();
    if (liveness_.is_silent(machine, limit)) return ScaleInReason::heartbeats_lost;
    if (machine.worker.cordoned && machine.placements.empty()) return ScaleInReason::drained;
    return std::nullopt;
}

bool ReleasePolicy::holds_tasks_of_ended_job_too_long(const Machine& machine) const {
    if (!ended_jobs_hold_tasks_) return false;
    const auto limit = config_.cancellation_deadline * 2 / 5;
    return std::any_of(
        machine.placements.begin(), machine.placements.end(), [&](const auto& entry) {
            const auto& job = *entry.second.job;
            return job.state == JobState::terminal && context_.now() - job.terminal_since > limit;
        });
}

}  // namespace dunebridge::provisioning
