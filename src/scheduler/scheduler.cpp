#include "scheduler/scheduler.hpp"

#include <algorithm>
#include <tuple>

namespace dunebridge::scheduler {

using core::Job;
using core::JobState;
using core::Machine;
using core::Placement;

namespace {

constexpr double kNoDeadline_s = 3600;
constexpr double kFetchGuess_gb_per_s = 0.5;
constexpr double kEstimateDoubt = 1.5;
constexpr double kStop_s = 1.5;  // for a victim to stop and its machine to report it

Resources need_of(const Job& job) {
    return {job.spec.cores, job.spec.accelerators, job.spec.ram_gb};
}

}  // namespace

Scheduler::Scheduler(core::Port& port, core::Ledger& ledger, workers::Workers& workers,
                     fleet::Fleet& fleet, const core::Config& config)
    : port_(port), ledger_(ledger), workers_(workers), fleet_(fleet), config_(config) {}

void Scheduler::run() {
    const auto entries = waiting_jobs();
    if (entries.empty()) return;
    find_rooms();
    for (const auto& entry : entries) place(entry);
}

void Scheduler::find_rooms() {
    for (auto& [host, m] : ledger_.machines()) {
        const auto* type = fleet_.type(m.shape);
        if (!type || !workers_.usable(m)) continue;
        Room room;
        room.total = {type->cores, type->accelerators, type->ram_gb};
        room.free = room.later = room.total;
        for (const auto& [key, p] : m.tasks) {
            const auto need = need_of(*p.job);
            room.free.subtract(need);
            if (!p.halting) room.later.subtract(need);
            const double ran =
                p.running_since == Instant{} ? 0 : to_seconds(port_.now() - p.running_since);
            const double left =
                std::max(0.0, fleet_.expected_s(*p.job) - ran) + to_seconds(config_.tuning.slack);
            room.earliest_s = room.earliest_s == 0 ? left : std::min(room.earliest_s, left);
        }
        machines_.push_back(&m);
        rooms_.push_back(room);
    }
}

// A job is within its team's guarantee if it fits into it together with the team's earlier
// unfinished jobs.
std::map<const Job*, bool> Scheduler::within_guarantee() const {
    std::vector<const Job*> open;
    for (const auto& [id, job] : ledger_.jobs()) {
        if (job.state == JobState::open) open.push_back(&job);
    }
    std::sort(open.begin(), open.end(), [](const Job* a, const Job* b) {
        return std::tie(a->submitted, a->serial) < std::tie(b->submitted, b->serial);
    });
    std::map<std::string, core::TeamUse> sums;
    std::map<const Job*, bool> within;
    for (const auto* job : open) {
        const auto* team = config_.find_team(job->spec.owner);
        if (!team) continue;
        auto& sum = sums[job->spec.owner];
        const double tasks = job->spec.shards - job->done;
        sum.cpus += tasks * job->spec.cores;
        sum.gpus += tasks * job->spec.accelerators;
        within[job] = sum.cpus <= team->cpus && sum.gpus <= team->gpus;
    }
    return within;
}

Instant Scheduler::due(const Job& job) const {
    double within = job.spec.due_s.value_or(kNoDeadline_s);
    for (const auto& o : config_.objectives) {
        if (o.jobclass == job.spec.jobclass && o.kind == "finished" && o.within_s > 0) {
            within = std::min(within, o.within_s);
        }
    }
    return job.submitted + from_seconds(within);
}

Instant Scheduler::start_by(const Entry& entry) const {
    const auto& spec = entry.job->spec;
    double within = kNoDeadline_s;
    for (const auto& o : config_.objectives) {
        const bool wait = o.kind == "wait" && o.jobclass == spec.jobclass;
        const bool guarantee = o.kind == "guarantee" && entry.guaranteed;
        if ((wait || guarantee) && o.within_s > 0) within = std::min(within, o.within_s);
    }
    // A start counts once the image is there; and the owner's estimate is often wrong by half.
    const double fetch = spec.size_gb / kFetchGuess_gb_per_s;
    const double run = std::max(fleet_.expected_s(*entry.job), spec.expected_s) * kEstimateDoubt;
    auto latest = entry.job->submitted + from_seconds(std::max(0.0, within - fetch - kStop_s));
    if (spec.due_s)
        latest = std::min(latest, due(*entry.job) - from_seconds(run + fetch + kStop_s));
    return latest;
}

bool Scheduler::high(const Job& job) const {
    return job.spec.urgency >= config_.tuning.preempts_from;
}

std::vector<Scheduler::Entry> Scheduler::waiting_jobs() {
    std::vector<Entry> out;
    for (auto& [id, job] : ledger_.jobs()) {
        if (job.state != JobState::open || job.waiting.empty()) continue;
        if (port_.now() < job.retry_at) {
            port_.wake_at(job.retry_at);
            continue;
        }
        out.push_back({&job, false, due(job)});
    }
    if (out.empty()) return out;
    const auto within = within_guarantee();
    for (auto& e : out) {
        const auto it = within.find(e.job);
        e.guaranteed = it != within.end() && it->second;
    }
    std::sort(out.begin(), out.end(), [&](const Entry& a, const Entry& b) {
        const auto rank = [&](const Entry& e) {
            const int first = high(*e.job) || e.guaranteed ? 0 : 1;
            return std::tuple{first, -static_cast<int>(e.job->spec.urgency), e.due, e.job->serial};
        };
        return rank(a) < rank(b);
    });
    return out;
}

std::size_t Scheduler::quota_left(const Job& job) const {
    const auto* team = config_.find_team(job.spec.owner);
    if (!team) return 0;
    const auto& use = ledger_.use(job.spec.owner);
    std::size_t left = job.waiting.size();
    const auto limit = [&](double most, double used, double each) {
        if (most <= 0 || each <= 0) return;
        const double n = std::max(0.0, (most - used) / each + 1e-9);
        left = std::min(left, static_cast<std::size_t>(n));
    };
    limit(team->cpus_max, use.cpus, job.spec.cores);
    limit(team->gpus_max, use.gpus, job.spec.accelerators);
    return left;
}

bool Scheduler::allowed(const Job& job, std::size_t i) const {
    const Machine& m = *machines_[i];
    const auto& spec = job.spec;
    if (m.spot && !spec.reclaimable) return false;
    if (spec.region && *spec.region != m.region) return false;
    if (spec.shapes &&
        std::find(spec.shapes->begin(), spec.shapes->end(), m.shape) == spec.shapes->end()) {
        return false;
    }
    if (spec.together && !job.zones.empty() && !job.zones.contains(m.region)) return false;
    if (spec.apart) {
        const auto it = job.zones.find(m.region);
        if (it != job.zones.end() && it->second >= (spec.shards + 1) / 2) return false;
    }
    // The record of a machine must fit into one value.
    return static_cast<double>(m.tasks.size()) < config_.state_value_kb * 8;
}

void Scheduler::place(const Entry& entry) {
    Job& job = *entry.job;
    const auto need = need_of(job);
    const auto ok = [&](std::size_t i) { return allowed(job, i); };
    for (std::size_t i = 0; i < rooms_.size(); ++i) {
        rooms_[i].has_image = machines_[i]->images.contains(job.spec.bundle);
    }
    auto left = quota_left(job);
    while (left > 0) {
        const auto i = best_fit(rooms_, need, ok);
        if (!i) break;
        ledger_.place(job, *machines_[*i]);
        rooms_[*i].free.subtract(need);
        rooms_[*i].later.subtract(need);
        --left;
    }
    if (!high(job) || left == 0) return;
    const auto latest = start_by(entry);
    if (port_.now() < latest) {
        port_.wake_at(latest);
        return;
    }
    for (; left > 0; --left) {
        if (const auto i = promised_fit(rooms_, need, ok)) {
            rooms_[*i].later.subtract(need);
        } else if (!preempt(job, need)) {
            return;
        }
    }
}

// The preemption list is kept in order of start, the latest first: the first that fits has the
// least work to lose.
bool Scheduler::preempt(const Job& job, const Resources& need) {
    Placement* victim = nullptr;
    std::size_t room = 0;
    for (std::size_t i = 0; i < rooms_.size(); ++i) {
        if (!allowed(job, i)) continue;
        for (auto& [key, p] : machines_[i]->tasks) {
            if (high(*p.job) || p.halting || !p.committed) continue;
            if (p.job->tasks[p.index].shielded) continue;
            if (victim && p.placed_at <= victim->placed_at) continue;
            auto later = rooms_[i].later;
            later.add(need_of(*p.job));
            if (!later.holds(need)) continue;
            victim = &p;
            room = i;
        }
    }
    if (!victim) return false;
    victim->preempted = true;
    const bool saves = victim->job->spec.snapshot_every_s > 0;
    workers_.halt(*machines_[room], *victim, saves ? victim->job->spec.snapshot_s + 1 : 0);
    rooms_[room].later.add(need_of(*victim->job));
    rooms_[room].later.subtract(need);
    port_.log(core::LogLevel::info, "event=preempt victim={} for={} host={}", victim->ref().str(),
              job.spec.id.get(), machines_[room]->host.get());
    return true;
}

}  // namespace dunebridge::scheduler
