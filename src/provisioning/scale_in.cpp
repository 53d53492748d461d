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
constexpr int kMissedReports = 7;
constexpr Millis kSilentMargin{3000};
// Before one without tasks that has never reported in this term is.
constexpr Millis kUnreportedIdle{15000};
// So many silent at once, and more than half, are more likely this node's own trouble.
constexpr std::size_t kManySilent = 3;
// For the command to save to arrive, and a notice that was too long.
constexpr Millis kSaveMargin{3000};
constexpr std::uint32_t kMissingLists = 2;

const char* name_of(ReturnReason reason) {
    switch (reason) {
        case ReturnReason::idle:
            return "idle";
        case ReturnReason::drained:
            return "drained";
        case ReturnReason::stuck:
            return "stuck";
        case ReturnReason::failed:
            return "failed";
        case ReturnReason::taken:
            return "taken";
        case ReturnReason::unlisted:
            return "unlisted";
        case ReturnReason::unheard:
            return "unheard";
        case ReturnReason::silent:
            return "silent";
        case ReturnReason::unresponsive:
            return "unresponsive";
        case ReturnReason::cancelled_tasks:
            return "cancelled_tasks";
    }
    return "";
}
}  // namespace

MachineReturns::MachineReturns(sansio::Port& port, CloudClient& cloud, state::Ledger& ledger,
                               workers::Workers& workers, const MachineTypes& types,
                               const StartupMonitor& startups, const config::Config& config)
    : port_(port),
      cloud_(cloud),
      ledger_(ledger),
      workers_(workers),
      types_(types),
      startups_(startups),
      config_(config) {}

void MachineReturns::reset() {
    given_up_.clear();
    deleting_ = false;
    next_deletion_ = Instant{};
}

void MachineReturns::give_up(Machine& machine, ReturnReason why) {
    if (machine.cloud.deleting) return;
    machine.cloud.deleting = true;
    given_up_.insert(machine.host);
    port_.log(LogLevel::info, "event=machine_return host={} type={} tasks={} why={}",
              machine.host.get(), machine.machine_type, machine.tasks.size(), name_of(why));
}

void MachineReturns::check() {
    if (port_.now() < next_check_) return;
    next_check_ = port_.now() + kCheckEvery;
    count_silent();
    tasks_of_ended_ = std::any_of(ledger_.jobs().begin(), ledger_.jobs().end(), [](const auto& j) {
        return j.second.state == JobState::ended && j.second.placed > 0;
    });
    for (auto& [host, machine] : ledger_.machines()) check_machine(machine);
}

void MachineReturns::count_silent() {
    std::size_t up = 0;
    std::size_t silent = 0;
    for (const auto& [host, machine] : ledger_.machines()) {
        if (machine.cloud.deleting || (!machine.worker.reported && machine.tasks.empty())) continue;
        ++up;
        if (workers_.late(machine)) ++silent;
    }
    many_silent_ = silent >= kManySilent && silent * 2 > up;
}

// How long a silent machine with tasks is waited for. A short cut ends by itself and its tasks have
// run on meanwhile; after some missed reports it is quicker to delete the machine, which proves the
// tasks gone, than to wait for a long lease to end.
Millis MachineReturns::patience() const {
    return std::min(config_.lease + kSilentMargin,
                    std::max(config_.report * kMissedReports, config_.lease * 6 / 10));
}

void MachineReturns::check_machine(Machine& machine) {
    if (machine.cloud.deleting) return;
    const auto* type = types_.find(machine.machine_type);
    if (type) machine.total = {type->cores, type->accelerators, type->ram_gb};
    if (!machine.worker.reported) {
        const auto why = why_give_up_unreported(machine);
        if (why) give_up(machine, *why);
        return;
    }
    const auto why = why_give_up_reported(machine);
    if (why) give_up(machine, *why);
    save_tasks(machine);
    if (holds_cancelled_tasks_too_long(machine)) give_up(machine, ReturnReason::cancelled_tasks);
}

// Of a machine that has not reported to this term's leader; none: it is kept.
std::optional<ReturnReason> MachineReturns::why_give_up_unreported(const Machine& machine) const {
    const auto now = port_.now();
    // A new leader has reports only from its own term's start on.
    const auto known = now - machine.worker.known_since;
    const bool unlisted = machine.cloud.missing_lists >= kMissingLists;
    if (!machine.tasks.empty()) {
        if (unlisted && known > patience()) return ReturnReason::unlisted;
        if (known <= (many_silent_ ? config_.lease * 2 : patience())) return std::nullopt;
        return ReturnReason::unheard;
    }
    // Deleted by an earlier leader that did not see it confirmed: the machine list is late.
    if (unlisted && known > config_.list_lag * 3 + kSilentMargin) return ReturnReason::unlisted;
    if (known <= kUnreportedIdle) return std::nullopt;
    if (!machine.cloud.starting) return ReturnReason::unheard;
    const bool stuck = now - machine.cloud.rented_at > startups_.give_up_after(machine);
    return stuck ? std::optional(ReturnReason::stuck) : std::nullopt;
}

// Of a machine that has reported to this term's leader; none: it is kept.
std::optional<ReturnReason> MachineReturns::why_give_up_reported(const Machine& machine) const {
    const bool missed_two = workers_.silent(machine, config_.report * 2);
    const bool taken = machine.taken_at && port_.now() > *machine.taken_at;
    if (taken && missed_two) return ReturnReason::taken;
    const bool unlisted = machine.cloud.listed && machine.cloud.missing_lists >= kMissingLists;
    if (unlisted && missed_two) return ReturnReason::unlisted;
    // No command reaches it, and its lease ends by itself.
    if (workers_.unresponsive_for(machine) > patience()) return ReturnReason::unresponsive;
    // More likely this node's own trouble than that of so many machines at once.
    if (many_silent_ && !workers_.silent(machine, config_.lease * 2)) return std::nullopt;
    const auto limit = machine.tasks.empty() ? config_.lease : patience();
    if (workers_.silent(machine, limit)) return ReturnReason::silent;
    const bool drained = machine.draining && machine.tasks.empty();
    return drained ? std::optional(ReturnReason::drained) : std::nullopt;
}

// Tasks of cancelled jobs must be gone in time, whether the machine can be reached or not.
bool MachineReturns::holds_cancelled_tasks_too_long(const Machine& machine) const {
    if (!tasks_of_ended_) return false;
    const auto longest = config_.cancel * 2 / 5;
    return std::any_of(machine.tasks.begin(), machine.tasks.end(), [&](const auto& entry) {
        const auto& job = *entry.second.job;
        return job.state == JobState::ended && port_.now() - job.ended_at > longest;
    });
}

// A machine that goes away: tasks that can save do so in time, the others run on while they may.
void MachineReturns::save_tasks(Machine& machine) {
    if (!machine.taken_at && !machine.draining) return;
    for (auto& [key, placement] : machine.tasks) {
        const auto& spec = placement.job->spec;
        const auto grace_s = spec.checkpoint_every_s > 0 ? spec.checkpoint_s : 0.0;
        const auto saved_at = port_.now() + from_seconds(grace_s) + kSaveMargin;
        const bool now_or_never = machine.taken_at && grace_s > 0 && saved_at >= *machine.taken_at;
        if (machine.draining || now_or_never) workers_.stop(machine, placement, grace_s);
    }
}

void MachineReturns::send_deletions() {
    if (deleting_ || port_.now() < next_deletion_) return;
    if (given_up_.empty() || !cloud_.take_request()) return;
    const auto count = std::min(given_up_.size(), kMaxHostsPerDeletion);
    const auto last = std::next(given_up_.begin(), static_cast<std::ptrdiff_t>(count));
    const std::vector<HostName> hosts(given_up_.begin(), last);
    deleting_ = true;
    cloud_.delete_machines(hosts, [this, hosts, generation = ledger_.generation()](bool deleted) {
        if (!ledger_.usable_in(generation)) return;
        deleting_ = false;
        if (!deleted) {
            next_deletion_ = port_.now() + kDeletionRetry;
            return;
        }
        for (const auto& host : hosts) {
            given_up_.erase(host);
            workers_.deleted(host);
            if (auto* machine = ledger_.find_machine(host)) ledger_.drop_machine(*machine);
        }
    });
}

}  // namespace dunebridge::provisioning
