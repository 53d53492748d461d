#include "state/cluster_state.hpp"

#include <algorithm>
#include <utility>

#include "kv/keys.hpp"
#include "state/task_ranges.hpp"

namespace dunebridge::state {

using kv::kScaleOutPrefix;

namespace {
// Smaller values are rounding errors of adding and subtracting fractions, and count as no usage.
constexpr double kUsageEpsilon = 1e-9;
}  // namespace

ClusterState::ClusterState(sansio::Context& context, kv::KvClient& kv_client,
                           const coordination::Election& election)
    : context_(context),
      election_(election),
      dependencies_(context, kv_client, jobs_,
                    {[this] { return is_current(generation_); },
                     [this](Job& job) { cancel_with_dependency(job); }}),
      dirty_(context) {}

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
    machines_needing_commands_.clear();
    team_usage_.clear();
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
    // Wall clocks differ between nodes: a submission time in the future counts as now.
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

// The job's recorded placements keep their resources until the placements are known to have ended.
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
    // This leader itself may be writing the terminal record of a finished job: the result of the
    // commit decides.
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
    // Done only for a task without a placement, a rare case: erasing searches a list that may be
    // long.
    if (!job.tasks[index].placement) std::erase(job.pending_tasks, index);
    mark_progress_dirty(job, index, CommitUrgency::batched);
    finish_if_done(job);
}

void ClusterState::finish_if_done(Job& job) {
    if (job.state != JobState::active || job.done_count != job.spec.task_count) return;
    job.state = JobState::finishing;
    dirty_.mark(kv::terminal_key(job.spec.id), CommitUrgency::terminal);
}

// Cancels the job because a job that it depends on is cancelled. None of its tasks has started.
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
        // The job's own record is deleted last: it holds the resources that its tasks require.
        for (const auto& range : ranges) {
            // A record that is not stored may be in the transaction that is in progress.
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
    for (auto& [key, placement] : machine.placements) {
        auto& zones = placement.job->placements_by_zone;
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
    machines_needing_commands_.push_back(&machine);
}

std::vector<Machine*> ClusterState::take_machines_needing_commands() {
    return std::exchange(machines_needing_commands_, {});
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
    std::erase(machines_needing_commands_, &machine);
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
    auto& usage = team_usage_[job.spec.team];
    usage.cpus += job.spec.cores;
    usage.gpus += job.spec.accelerators;
    machine.idle_since = context_.now();
}

void ClusterState::mark_progress_dirty(const Job& job, std::uint32_t index, CommitUrgency urgency) {
    dirty_.mark(progress_key(job, index), urgency);
}

void ClusterState::place(Job& job, Machine& machine) {
    const auto index = job.pending_tasks.back();
    job.pending_tasks.pop_back();
    Placement placement;
    placement.attempt = Attempt(++next_attempt_);
    placement.placed_at = context_.now();
    attach(machine, job, index, placement);
    mark_progress_dirty(job, index, CommitUrgency::prompt);
}

void ClusterState::restore_placement(Job& job, std::uint32_t index, Machine& machine,
                                     Attempt attempt) {
    Placement placement;
    placement.attempt = attempt;
    placement.commit = CommitState::committed;
    placement.start.delivery = StartDelivery::awaiting_confirmation;
    placement.placed_at = context_.now();
    attach(machine, job, index, placement);
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
    auto& usage = team_usage_[job.spec.team];
    usage.cpus -= job.spec.cores;
    usage.gpus -= job.spec.accelerators;
    if (usage.cpus < kUsageEpsilon) usage.cpus = 0;
    if (usage.gpus < kUsageEpsilon) usage.gpus = 0;
    if (job.state == JobState::active && !task.done) job.pending_tasks.push_back(index);
    machine.idle_since = context_.now();
    mark_progress_dirty(job, index, CommitUrgency::batched);
}

void ClusterState::stop_task(Placement& placement, double grace_s) {
    if (placement.stop.requested) return;
    placement.stop.requested = true;
    placement.stop.grace = Seconds(grace_s);
    placement.machine->releasing.add(placement.job->task_resources());
    request_commands(*placement.machine);
}

void ClusterState::set_running(Placement& placement, bool running) {
    const bool was_running = placement.running_since != Instant{};
    if (was_running == running) return;
    placement.running_since = running ? context_.now() : Instant{};
    running ? ++placement.job->running_count : --placement.job->running_count;
}

// ---- scale-out requests ----

void ClusterState::add_scale_out(const wire::ScaleOutRequest& request) {
    scale_outs_[request.idempotency_key].request = request;
    unanswered_scale_outs_.insert(request.idempotency_key);
    dirty_.mark(kScaleOutPrefix + request.idempotency_key, CommitUrgency::prompt);
}

void ClusterState::restore_scale_out(ScaleOutRecord record) {
    const auto key = record.request.idempotency_key;
    if (!record.answered) unanswered_scale_outs_.insert(key);
    for (const auto& host : record.hosts) {
        auto& machine = create_machine(host);
        set_machine_properties(machine, record.request.machine_type, record.request.zone,
                               record.request.spot);
        machine.scale_out_key = key;
    }
    scale_outs_.emplace(key, std::move(record));
}

void ClusterState::apply_scale_out_response(const std::string& idempotency_key,
                                            const std::vector<MachineName>& hosts) {
    const auto it = scale_outs_.find(idempotency_key);
    if (it == scale_outs_.end()) return;
    unanswered_scale_outs_.erase(idempotency_key);
    auto& record = it->second;
    record.answered = true;
    for (const auto& host : hosts) {
        auto* known = find_machine(host);
        // The worker may have sent a heartbeat before the scale-out request was answered; then the
        // machine has a scale-out record of its own.
        if (known) detach_from_scale_out(*known);
        auto& machine = known ? *known : create_machine(host);
        set_machine_properties(machine, record.request.machine_type, record.request.zone,
                               record.request.spot);
        machine.scale_out_key = idempotency_key;
        record.hosts.insert(host);
    }
    dirty_.mark(kScaleOutPrefix + idempotency_key, CommitUrgency::batched);
    if (record.hosts.empty()) scale_outs_.erase(it);
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
