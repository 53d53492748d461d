#include "state/cluster_state.hpp"

#include <algorithm>
#include <utility>

#include "kv/keys.hpp"
#include "state/task_ranges.hpp"

namespace dunebridge::state {

using kv::kScaleOutPrefix;

namespace {
// Sums of decimals must not leave a remainder that looks like use.
constexpr double kLeastUse = 1e-9;
}  // namespace

ClusterState::ClusterState(sansio::Context& port, kv::KvClient& store,
                           const coordination::Election& election)
    : context_(port),
      election_(election),
      dependencies_(port, store, jobs_,
                    {[this] { return is_current(generation_); },
                     [this](Job& job) { cancel_with_dependency(job); }}),
      dirty_(port) {}

bool ClusterState::is_current(std::uint64_t generation) const {
    return generation == generation_ && election_.is_leader() &&
           election_.generation() == generation;
}

void ClusterState::begin_term() {
    clear();
    generation_ = election_.generation();
    next_attempt_ = election_.term().get() << kAttemptBits;
}

void ClusterState::clear() {
    loaded_ = false;
    jobs_.clear();
    machines_.clear();
    scale_outs_.clear();
    unanswered_scale_outs_.clear();
    needing_commands_.clear();
    use_.clear();
    dirty_.clear();
    stored_.clear();
    dependencies_.clear();
    format_ = config::kChunkFormat;
    committing_ = false;
}

// ---- jobs ----

Job* ClusterState::add_job(kv::JobRecord record, KeyRevision revision) {
    const auto [it, added] = jobs_.try_emplace(record.spec.id);
    if (!added) return nullptr;
    auto& job = it->second;
    job.spec = std::move(record.spec);
    job.sequence = ++next_sequence_;
    job.dependencies.record_count = record.dependency_parts;
    // Time of day may differ between nodes; a job is never from the future.
    const auto age = std::max<std::int64_t>(0, context_.wall_ms() - record.submitted_ms);
    job.submitted_at = job.dependencies.runnable_since = context_.now() - Millis(age);
    job.dependencies.effective_priority = job.spec.priority;
    if (job.spec.deadline_s)
        job.dependencies.latest_end = job.submitted_at + from_seconds(*job.spec.deadline_s);
    job.tasks.resize(job.spec.task_count);
    job.pending_tasks.resize(job.spec.task_count);
    for (std::uint32_t i = 0; i < job.spec.task_count; ++i)
        job.pending_tasks[i] = job.spec.task_count - 1 - i;
    stored_.set_if_unknown(kv::job_key(it->first), revision);
    return &job;
}

// What was recorded of it counts until it is proved gone.
Job& ClusterState::add_terminal_job(const JobId& id) {
    auto& job = jobs_[id];
    job.spec.id = id;
    job.spec.task_count = 0;
    job.sequence = ++next_sequence_;
    job.state = JobState::terminal;
    job.terminal_since = context_.now();
    return job;
}

Job* ClusterState::find_job(const JobId& id) {
    const auto it = jobs_.find(id);
    return it == jobs_.end() ? nullptr : &it->second;
}

void ClusterState::mark_terminal(const JobId& id, std::int64_t at_ms) {
    Job* job = find_job(id);
    if (!job || job->state == JobState::terminal) return;
    // A done job's end is this leader's own write: the answer to the commit settles it.
    if (job->state == JobState::finishing && committing_) return;
    job->state = JobState::terminal;
    const auto ago = at_ms > 0 ? std::max<std::int64_t>(0, context_.wall_ms() - at_ms) : 0;
    job->terminal_since = context_.now() - Millis(ago);
    job->pending_tasks.clear();
    dirty_.erase(kv::terminal_key(id));
    for (auto& task : job->tasks) {
        if (!task.placement) continue;
        auto& machine = *task.placement->machine;
        if (task.placement->commit == CommitState::uncommitted) {
            remove_placement(machine, {job->sequence, task.placement->index});
        }
        request_commands(machine);
    }
}

void ClusterState::mark_done(Job& job, std::uint32_t index) {
    if (index >= job.tasks.size() || job.tasks[index].done || job.state != JobState::active) return;
    job.tasks[index].done = true;
    ++job.done_count;
    // Seldom: most tasks are placed when they are done, and the list may be long.
    if (!job.tasks[index].placement) std::erase(job.pending_tasks, index);
    mark_progress_dirty(job, index, CommitUrgency::batched);
    finish_if_done(job);
}

void ClusterState::finish_if_done(Job& job) {
    if (job.state != JobState::active || job.done_count != job.spec.task_count) return;
    job.state = JobState::finishing;
    dirty_.mark(kv::terminal_key(job.spec.id), CommitUrgency::terminal);
}

// A job that it depends on is cancelled: it has begun nothing, and ends with it.
void ClusterState::cancel_with_dependency(Job& job) {
    job.state = JobState::finishing;
    job.dependencies.cancelled = true;
    job.pending_tasks.clear();
    dirty_.mark(kv::terminal_key(job.spec.id), CommitUrgency::terminal);
    context_.log(sansio::LogLevel::info, "event=cancelled_by_dependency id={} term={}",
                 job.spec.id.get(), election_.term().get());
}

void ClusterState::mark_preemption_protected(Job& job, std::uint32_t index) {
    if (index >= job.tasks.size() || job.tasks[index].preemption_protected) return;
    job.tasks[index].preemption_protected = true;
    mark_progress_dirty(job, index, CommitUrgency::batched);
}

void ClusterState::forget_terminal_jobs() {
    for (auto it = jobs_.begin(); it != jobs_.end();) {
        auto& job = it->second;
        if (job.state != JobState::terminal || job.placed_count > 0 ||
            job.dependencies.records_read < job.dependencies.record_count ||
            dirty_.find(kv::terminal_key(it->first))) {
            ++it;
            continue;
        }
        const auto ranges = std::move(job.ranges);
        const auto id = it->first;
        const auto dependency_parts = job.dependencies.record_count;
        it = jobs_.erase(it);
        // The job's own record goes last: without it nobody would know what its tasks take.
        for (const auto& range : ranges) {
            // Its first write may be under way.
            if (stored_.contains(range.key) || committing_) {
                dirty_.mark(range.key, CommitUrgency::batched);
            } else {
                dirty_.erase(range.key);
            }
        }
        for (std::uint64_t part = 0; part < dependency_parts; ++part) {
            dirty_.mark(kv::dependency_key(id, part), CommitUrgency::batched);
        }
        dirty_.mark(kv::job_key(id), CommitUrgency::batched);
    }
}

// ---- machines ----

Machine& ClusterState::create_machine(const MachineName& host) {
    auto& machine = machines_[host];
    machine.host = host;
    machine.worker.first_known_at = machine.instance.provisioned_at = machine.idle_since =
        context_.now();
    return machine;
}

Machine& ClusterState::add_machine(const MachineName& host, const std::string& machine_type,
                                   const std::string& zone, bool spot) {
    if (auto* known = find_machine(host)) {
        set_machine_properties(*known, machine_type, zone, spot);
        return *known;
    }
    auto& machine = create_machine(host);
    set_machine_properties(machine, machine_type, zone, spot);
    machine.scale_out_key = "x-" + host.get();
    scale_outs_[machine.scale_out_key] = {
        {machine.scale_out_key, machine_type, zone, spot, 1}, true, {host}};
    dirty_.mark(kScaleOutPrefix + machine.scale_out_key, CommitUrgency::batched);
    return machine;
}

void ClusterState::set_machine_properties(Machine& machine, const std::string& machine_type,
                                          const std::string& zone, bool spot) {
    if (machine.machine_type != machine_type) machine.capacity = {};
    machine.machine_type = machine_type;
    machine.spot = spot;
    if (machine.zone == zone) return;
    for (auto& [key, p] : machine.placements) {
        auto& zones = p.job->placements_by_zone;
        if (--zones[machine.zone] == 0) zones.erase(machine.zone);
        ++zones[zone];
    }
    machine.zone = zone;
}

Machine* ClusterState::find_machine(const MachineName& host) {
    const auto it = machines_.find(host);
    return it == machines_.end() ? nullptr : &it->second;
}

void ClusterState::request_commands(Machine& machine) {
    if (machine.worker.needs_commands) return;
    machine.worker.needs_commands = true;
    needing_commands_.push_back(&machine);
}

std::vector<Machine*> ClusterState::take_machines_needing_commands() {
    return std::exchange(needing_commands_, {});
}

void ClusterState::detach_from_scale_out(const Machine& machine) {
    const auto it = scale_outs_.find(machine.scale_out_key);
    if (it == scale_outs_.end()) return;
    it->second.hosts.erase(machine.host);
    dirty_.mark(kScaleOutPrefix + machine.scale_out_key, CommitUrgency::batched);
    if (it->second.hosts.empty()) scale_outs_.erase(it);
}

void ClusterState::remove_machine(Machine& machine) {
    while (!machine.placements.empty())
        remove_placement(machine, machine.placements.begin()->first);
    detach_from_scale_out(machine);
    std::erase(needing_commands_, &machine);
    const auto host = machine.host;
    machines_.erase(host);
}

// ---- placements ----

void ClusterState::attach(Machine& machine, Job& job, std::uint32_t index, Placement placement) {
    placement.job = &job;
    placement.machine = &machine;
    placement.index = index;
    const auto [it, added] =
        machine.placements.emplace(PlacementKey{job.sequence, index}, placement);
    if (!added) return;
    job.tasks[index].placement = &it->second;
    ++job.placed_count;
    ++job.placements_by_zone[machine.zone];
    machine.allocated.add(job.task_resources());
    auto& use = use_[job.spec.team];
    use.cpus += job.spec.cores;
    use.gpus += job.spec.accelerators;
    machine.idle_since = context_.now();
}

void ClusterState::mark_progress_dirty(const Job& job, std::uint32_t index, CommitUrgency urgency) {
    dirty_.mark(progress_key(job, index), urgency);
}

void ClusterState::place(Job& job, Machine& machine) {
    const auto index = job.pending_tasks.back();
    job.pending_tasks.pop_back();
    Placement p;
    p.attempt = Attempt(++next_attempt_);
    p.placed_at = context_.now();
    attach(machine, job, index, p);
    mark_progress_dirty(job, index, CommitUrgency::prompt);
}

void ClusterState::restore_placement(Job& job, std::uint32_t index, Machine& machine,
                                     Attempt attempt) {
    Placement p;
    p.attempt = attempt;
    p.commit = CommitState::committed;
    p.start.delivery = StartDelivery::awaiting_confirmation;
    p.placed_at = context_.now();
    attach(machine, job, index, p);
}

void ClusterState::remove_placement(Machine& machine, PlacementKey key) {
    const auto it = machine.placements.find(key);
    if (it == machine.placements.end()) return;
    set_running(it->second, false);
    auto& job = *it->second.job;
    const auto index = it->second.index;
    if (it->second.stop.requested) machine.releasing.subtract(job.task_resources());
    machine.allocated.subtract(job.task_resources());
    machine.placements.erase(it);
    if (machine.placements.empty()) machine.allocated = machine.releasing = {};
    auto& task = job.tasks[index];
    task.placement = nullptr;
    --job.placed_count;
    if (--job.placements_by_zone[machine.zone] == 0) job.placements_by_zone.erase(machine.zone);
    auto& use = use_[job.spec.team];
    use.cpus -= job.spec.cores;
    use.gpus -= job.spec.accelerators;
    if (use.cpus < kLeastUse) use.cpus = 0;
    if (use.gpus < kLeastUse) use.gpus = 0;
    if (job.state == JobState::active && !task.done) job.pending_tasks.push_back(index);
    machine.idle_since = context_.now();
    mark_progress_dirty(job, index, CommitUrgency::batched);
}

void ClusterState::stop_task(Placement& p, double grace_s) {
    if (p.stop.requested) return;
    p.stop.requested = true;
    p.stop.grace = Seconds(grace_s);
    p.machine->releasing.add(p.job->task_resources());
    request_commands(*p.machine);
}

void ClusterState::set_running(Placement& p, bool running) {
    const bool was = p.running_since != Instant{};
    if (was == running) return;
    p.running_since = running ? context_.now() : Instant{};
    running ? ++p.job->running_count : --p.job->running_count;
}

// ---- scale-out requests ----

void ClusterState::add_scale_out(const wire::ScaleOutRequest& request) {
    scale_outs_[request.idempotency_key].request = request;
    unanswered_scale_outs_.insert(request.idempotency_key);
    dirty_.mark(kScaleOutPrefix + request.idempotency_key, CommitUrgency::prompt);
}

void ClusterState::restore_scale_out(ScaleOutRecord rental) {
    const auto key = rental.request.idempotency_key;
    if (!rental.answered) unanswered_scale_outs_.insert(key);
    for (const auto& host : rental.hosts) {
        auto& machine = create_machine(host);
        set_machine_properties(machine, rental.request.machine_type, rental.request.zone,
                               rental.request.spot);
        machine.scale_out_key = key;
    }
    scale_outs_.emplace(key, std::move(rental));
}

void ClusterState::apply_scale_out_response(const std::string& idempotency_key,
                                            const std::vector<MachineName>& hosts) {
    const auto it = scale_outs_.find(idempotency_key);
    if (it == scale_outs_.end()) return;
    unanswered_scale_outs_.erase(idempotency_key);
    auto& rental = it->second;
    rental.answered = true;
    for (const auto& host : hosts) {
        auto* known = find_machine(host);
        // It may have reported before the scale-out request was answered.
        if (known) detach_from_scale_out(*known);
        auto& machine = known ? *known : create_machine(host);
        set_machine_properties(machine, rental.request.machine_type, rental.request.zone,
                               rental.request.spot);
        machine.scale_out_key = idempotency_key;
        rental.hosts.insert(host);
    }
    dirty_.mark(kScaleOutPrefix + idempotency_key, CommitUrgency::batched);
    if (rental.hosts.empty()) scale_outs_.erase(it);
}

bool ClusterState::is_scale_out_committed(const std::string& idempotency_key) const {
    return stored_.contains(kScaleOutPrefix + idempotency_key);
}

// ---- records ----

void ClusterState::adopt_format(std::uint64_t format) {
    if (format <= format_ || !loaded_) return;
    format_ = format;
    context_.log(sansio::LogLevel::info, "event=record_format_adopted version={}", format);
    dirty_.mark(kv::kFormatMarkerKey, CommitUrgency::terminal);
}

}  // namespace dunebridge::state
