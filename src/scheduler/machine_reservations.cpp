#include "scheduler/machine_reservations.hpp"

#include <algorithm>

#include "scheduler/task_constraints.hpp"

namespace dunebridge::scheduler {

using state::Job;
using state::Machine;

namespace {
// Others that would fit meanwhile must not wait for 90 s: a machine is reserved for so long at a
// time, and then open to them for a while.
constexpr Millis kMaxReservation{65000};
constexpr Millis kOpenAfterReservation{10000};
// One machine in so many may be reserved.
constexpr std::size_t kMachinesPerReservation = 10;
}  // namespace

void MachineReservations::expire(const std::set<std::uint64_t>& jobs) {
    for (auto& [host, machine] : state_.machines()) {
        if (machine.reservation.job_sequence == 0) continue;
        const bool is_over = context_.now() - machine.reservation.since > kMaxReservation;
        if (is_over || !jobs.contains(machine.reservation.job_sequence))
            machine.reservation.job_sequence = 0;
    }
}

bool MachineReservations::can_be_reserved(const Job& job, const Machine& machine) const {
    const auto since = machine.reservation.since;
    const bool open_to_others =
        since != Instant{} && context_.now() - since < kMaxReservation + kOpenAfterReservation;
    return !open_to_others && machine.capacity.holds(job.task_resources()) &&
           liveness_.is_schedulable(machine) && is_eligible(job, machine);
}

// The share of the machine that must still become free, weighed by how soon that begins.
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
