#include "scheduler/machine_reservations.hpp"

#include <algorithm>

#include "scheduler/task_constraints.hpp"

namespace dunebridge::scheduler {

using state::Job;
using state::Machine;

namespace {
// Other jobs that would fit on a reserved machine must not be kept waiting for 90 s. A reservation
// therefore ends after kMaxReservationTime, and the machine then stays open to all jobs for
// kReservationCooldown.
constexpr Millis kMaxReservationTime{65000};
constexpr Millis kReservationCooldown{10000};
// Reservations are limited to about one in this many machines.
constexpr std::size_t kMachinesPerReservation = 10;
}  // namespace

void MachineReservations::release_stale(const std::set<std::uint64_t>& starving_jobs) {
    for (auto& [host, machine] : state_.machines()) {
        if (machine.reservation.job_sequence == 0) continue;
        const bool timed_out = context_.now() - machine.reservation.since > kMaxReservationTime;
        if (timed_out || !starving_jobs.contains(machine.reservation.job_sequence))
            machine.reservation.job_sequence = 0;
    }
}

bool MachineReservations::can_be_reserved(const Job& job, const Machine& machine) const {
    const auto since = machine.reservation.since;
    const bool in_cooldown =
        since != Instant{} && context_.now() - since < kMaxReservationTime + kReservationCooldown;
    return !in_cooldown && machine.capacity.holds(job.task_resources()) &&
           liveness_.is_schedulable(machine) && is_eligible(job, machine);
}

// A score for ranking machines, not an exact time: the time in seconds until the first task is
// expected to end, weighted by the share of the machine's cores that is in use.
double MachineReservations::expected_wait_s(const Machine& machine) const {
    const double used_share = machine.allocated.cores / std::max(machine.capacity.cores, 1.0);
    return availability_.earliest_available_s(machine) * (1 + used_share);
}

void MachineReservations::reserve_for(const Job& job) {
    std::size_t reserved = 0;
    Machine* best = nullptr;
    double best_wait_s = 0;
    for (auto& [host, machine] : state_.machines()) {
        if (machine.reservation.job_sequence == job.sequence) return;
        if (machine.reservation.job_sequence != 0) {
            ++reserved;
            continue;
        }
        if (!can_be_reserved(job, machine)) continue;
        const double wait_s = expected_wait_s(machine);
        if (best && wait_s >= best_wait_s) continue;
        best = &machine;
        best_wait_s = wait_s;
    }
    if (!best || reserved * kMachinesPerReservation > state_.machines().size()) return;
    best->reservation.job_sequence = job.sequence;
    best->reservation.since = context_.now();
}

}  // namespace dunebridge::scheduler
