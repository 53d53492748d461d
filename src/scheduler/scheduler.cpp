#include "scheduler/scheduler.hpp"

#include <algorithm>
#include <limits>
#include <string_view>
#include <tuple>
#include <unordered_set>

namespace dunebridge::scheduler {

using state::Job;
using state::JobState;
using state::Machine;
using state::Placement;

namespace {

// Others that would fit meanwhile must not wait for 90 s: a machine is kept for so long at a time,
// and then open to them for a while.
constexpr Millis kKeptMost{65000};
constexpr Millis kOpenAfter{10000};
constexpr std::size_t kKeptShare = 10;  // one machine in so many may be kept for aged jobs

}  // namespace

Scheduler::Scheduler(sansio::Context& port, state::ClusterState& cluster_state,
                     const state::WorkerLiveness& liveness,
                     const state::RunTimeEstimator& run_times, const config::Config& config)
    : context_(port),
      state_(cluster_state),
      liveness_(liveness),
      run_time_estimator_(run_times),
      config_(config),
      pending_queue_(port, cluster_state, run_times, config) {}

std::size_t Scheduler::run() {
    const auto waiting = pending_queue_.jobs();
    if (waiting.empty()) return 0;
    collect_capacities(waiting);
    for (const auto& entry : waiting) entry.aged ? begin(entry) : place(entry);
    for (const auto& entry : waiting) {
        if (entry.aged && entry.job->has_started()) place(entry);
    }
    machines_.clear();
    capacities_.clear();
    full_machines_.clear();
    nowhere_.clear();
    exhausted_.clear();
    victims_.reset();
    return waiting.size();
}

void Scheduler::collect_capacities(const std::vector<PendingJob>& waiting) {
    std::set<std::uint64_t> aged;
    double least_cores = std::numeric_limits<double>::max();
    for (const auto& entry : waiting) {
        // For a job whose team is at its limit nothing is kept: others could use it meanwhile.
        if (entry.aged && quota_left(*entry.job) > 0) aged.insert(entry.job->sequence);
        least_cores = std::min(least_cores, entry.job->spec.cores);
    }
    for (auto& [host, machine] : state_.machines()) {
        const bool over = context_.now() - machine.reserved_since > kKeptMost;
        if (machine.reserved_for != 0 && (over || !aged.contains(machine.reserved_for)))
            machine.reserved_for = 0;
        // Most machines are full most of the time.
        const double cores = machine.total.cores - machine.used.cores + machine.releasing.cores;
        if (cores + 1e-6 < least_cores) {
            full_machines_.push_back(&machine);
        } else if (liveness_.is_schedulable(machine)) {
            add_capacity(machine);
        }
    }
}

void Scheduler::add_capacity(Machine& machine) {
    FreeCapacity room{machine.total, machine.total, {}};
    room.free.subtract(machine.used);
    room.free_after_stops = room.free;
    room.free_after_stops.add(machine.releasing);
    machines_.push_back(&machine);
    capacities_.push_back(room);
}

double Scheduler::earliest_s(const Machine& machine) const {
    double earliest = 0;
    for (const auto& [key, placement] : machine.tasks) {
        const double ran = placement.running_since == Instant{}
                               ? 0
                               : to_seconds(context_.now() - placement.running_since);
        const double left = std::max(0.0, run_time_estimator_.expected_s(*placement.job) - ran) +
                            to_seconds(config_.tuning.slack);
        earliest = earliest == 0 ? left : std::min(earliest, left);
    }
    return earliest;
}

Scheduler::TaskShape Scheduler::shape_of(const Job& job) const {
    const auto& spec = job.spec;
    return {spec.cores,        spec.accelerators, spec.ram_gb,
            spec.spot_allowed, spec.zone,         spec.machine_types};
}

std::size_t Scheduler::quota_left(const Job& job) const {
    const auto* team = config_.find_team(job.spec.team);
    if (!team) return 0;
    const auto& use = state_.use(job.spec.team);
    std::size_t left = job.placeable_tasks();
    const auto limit = [&](double most, double used, double each) {
        if (most <= 0 || each <= 0) return;
        const double n = std::max(0.0, (most - used) / each + 1e-9);
        left = std::min(left, static_cast<std::size_t>(n));
    };
    limit(team->cpus_max, use.cpus, job.spec.cores);
    limit(team->gpus_max, use.gpus, job.spec.accelerators);
    return left;
}

bool Scheduler::allowed(const Job& job, const Machine& machine) const {
    const auto& spec = job.spec;
    if (machine.spot && !spec.spot_allowed) return false;
    if (machine.reserved_for != 0 && machine.reserved_for != job.sequence) return false;
    if (spec.zone && *spec.zone != machine.zone) return false;
    if (spec.machine_types && std::find(spec.machine_types->begin(), spec.machine_types->end(),
                                        machine.machine_type) == spec.machine_types->end()) {
        return false;
    }
    if (spec.together && !job.zones.empty() && !job.zones.contains(machine.zone)) return false;
    if (spec.apart) {
        // Tasks whose zone is not known may be in this one.
        std::uint32_t here = 0;
        for (const auto& [zone, n] : job.zones)
            here += zone == machine.zone || zone.empty() ? n : 0;
        if (here >= (spec.task_count + 1) / 2) return false;
    }
    return true;
}

// Best fit, machine after machine; returns how many tasks were placed.
std::size_t Scheduler::fill(Job& job, std::size_t most) {
    if (most == 0) return 0;
    const auto& spec = job.spec;
    // Where the zones of the job's other tasks matter, it is decided by itself.
    const bool alone = spec.together || spec.apart;
    const auto kind = shape_of(job);
    if (!alone && nowhere_.contains(kind)) return 0;
    const auto need = job.task_resources();
    std::size_t placed = 0;
    const auto order = best_fit(
        capacities_, need, [&](std::size_t i) { return allowed(job, *machines_[i]); },
        [&](std::size_t i) { return machines_[i]->images.contains(spec.image); });
    for (const auto i : order) {
        auto& room = capacities_[i];
        while (placed < most && room.free.holds(need) && room.free_after_stops.holds(need) &&
               (!alone || allowed(job, *machines_[i]))) {
            state_.place(job, *machines_[i]);
            room.free.subtract(need);
            room.free_after_stops.subtract(need);
            ++placed;
        }
        if (placed == most) return placed;
    }
    if (!alone) nowhere_.insert(kind);
    return placed;
}

void Scheduler::place(const PendingJob& waiting) {
    Job& job = *waiting.job;
    auto left = quota_left(job);
    left -= fill(job, left);
    // A job that fails everywhere stops no other's task.
    if (!pending_queue_.is_high_priority(job) || left == 0 || job.failures.faulty) return;
    const auto latest = pending_queue_.latest_start(waiting);
    if (context_.now() < latest) {
        context_.request_wake(latest);
        return;
    }
    preempt_for(job, left);
}

// Waiting work ages: under a steady flow of others that go first, a job still gets its first task.
// Where none fits, a machine is kept from others until enough of it is free.
void Scheduler::begin(const PendingJob& waiting) {
    Job& job = *waiting.job;
    const auto most = std::min<std::size_t>(quota_left(job), 1);
    if (most == 0 || fill(job, most) > 0) return;
    reserve_machine(job);
}

void Scheduler::reserve_machine(const Job& job) {
    std::size_t kept = 0;
    Machine* best = nullptr;
    double best_s = 0;
    for (auto& [host, machine] : state_.machines()) {
        if (machine.reserved_for == job.sequence) return;
        if (machine.reserved_for != 0) {
            ++kept;
            continue;
        }
        if (context_.now() - machine.reserved_since < kKeptMost + kOpenAfter &&
            machine.reserved_since != Instant{})
            continue;
        if (!machine.total.holds(job.task_resources()) || !liveness_.is_schedulable(machine) ||
            !allowed(job, machine))
            continue;
        // The share of the machine that must still end, weighed by how soon that begins.
        const double until =
            earliest_s(machine) * (1 + machine.used.cores / std::max(machine.total.cores, 1.0));
        if (best && until >= best_s) continue;
        best = &machine;
        best_s = until;
    }
    if (!best || kept * kKeptShare > state_.machines().size()) return;
    best->reserved_for = job.sequence;
    best->reserved_since = context_.now();
}

// The preemption list is kept in order of start, the latest first: the first that fits has the
// least work to lose.
void Scheduler::find_victims() {
    victims_.emplace();
    for (auto* machine : full_machines_) {
        if (liveness_.is_schedulable(*machine)) add_capacity(*machine);
    }
    for (std::size_t i = 0; i < capacities_.size(); ++i) {
        for (auto& [key, placement] : machines_[i]->tasks) {
            if (pending_queue_.is_high_priority(*placement.job) || placement.stopping ||
                !placement.committed)
                continue;
            if (placement.job->tasks[placement.index].preemption_protected) continue;
            victims_->push_back({&placement, i});
        }
    }
    std::stable_sort(victims_->begin(), victims_->end(), [](const Victim& a, const Victim& b) {
        return a.placement->placed_at > b.placement->placed_at;
    });
}

// Promises room to tasks that fit nowhere: first what tasks being stopped will leave, then what
// the first fitting best-effort tasks leave that are stopped for it.
void Scheduler::preempt_for(const Job& job, std::size_t tasks) {
    const bool alone = job.spec.together || job.spec.apart;
    if (!alone && exhausted_.contains(shape_of(job))) return;
    const auto need = job.task_resources();
    const auto promise = [&](std::size_t i) {
        while (tasks > 0 && capacities_[i].free_after_stops.holds(need)) {
            capacities_[i].free_after_stops.subtract(need);
            --tasks;
        }
    };
    const auto promised = future_fit(
        capacities_, need, [&](std::size_t i) { return allowed(job, *machines_[i]); },
        [&](std::size_t i) { return earliest_s(*machines_[i]); });
    for (const auto i : promised) promise(i);
    if (tasks == 0) return;
    if (!victims_) find_victims();
    for (const auto& [victim, i] : *victims_) {
        if (tasks == 0) return;
        if (victim->stopping || !allowed(job, *machines_[i])) continue;
        auto later = capacities_[i].free_after_stops;
        later.add(victim->job->task_resources());
        if (!later.holds(need)) continue;
        victim->preempted = true;
        const bool saves = victim->job->spec.checkpoint_every_s > 0;
        state_.stop_task(*victim, saves ? victim->job->spec.checkpoint_s + 1 : 0);
        capacities_[i].free_after_stops = later;
        promise(i);
        context_.log(sansio::LogLevel::info, "event=preempt victim={} for={} host={}",
                     victim->ref().str(), job.spec.id.get(), machines_[i]->host.get());
    }
    if (tasks > 0 && !alone) exhausted_.insert(shape_of(job));
}

}  // namespace dunebridge::scheduler
