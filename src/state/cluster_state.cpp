#include "state/cluster_state.hpp"

#include <algorithm>
#include <utility>

#include "kv/keys.hpp"
#include "state/task_ranges.hpp"

namespace dunebridge::state {

using kv::kRentals;

namespace {
// Sums of decimals must not leave a remainder that looks like use.
constexpr double kLeastUse = 1e-9;
}  // namespace

Ledger::Ledger(sansio::Port& port, kv::Store& store, const coordination::Election& election)
    : port_(port),
      election_(election),
      dependencies_(port, store, jobs_,
                    {[this] { return current(generation_); },
                     [this](Job& job) { cancel_with_dependency(job); }}),
      dirty_(port) {}

bool Ledger::current(std::uint64_t generation) const {
    return generation == generation_ && election_.is_leader() &&
           election_.generation() == generation;
}

void Ledger::begin() {
    clear();
    generation_ = election_.generation();
    next_attempt_ = election_.term().get() << kAttemptBits;
}

void Ledger::clear() {
    loaded_ = false;
    jobs_.clear();
    machines_.clear();
    rentals_.clear();
    open_rentals_.clear();
    needing_commands_.clear();
    use_.clear();
    dirty_.clear();
    stored_.clear();
    dependencies_.clear();
    format_ = config::kChunkFormat;
    committing_ = false;
}

// ---- jobs ----

Job* Ledger::add_job(kv::JobRecord record, KeyRev revision) {
    const auto [it, added] = jobs_.try_emplace(record.spec.id);
    if (!added) return nullptr;
    auto& job = it->second;
    job.spec = std::move(record.spec);
    job.sequence = ++next_sequence_;
    job.dependency_parts = record.dependency_parts;
    // Time of day may differ between nodes; a job is never from the future.
    const auto age = std::max<std::int64_t>(0, port_.wall_ms() - record.submitted_ms);
    job.submitted = job.ready_at = port_.now() - Millis(age);
    job.priority = job.spec.priority;
    if (job.spec.due_s) job.end_by = job.submitted + from_seconds(*job.spec.due_s);
    job.tasks.resize(job.spec.task_count);
    job.waiting.resize(job.spec.task_count);
    for (std::uint32_t i = 0; i < job.spec.task_count; ++i)
        job.waiting[i] = job.spec.task_count - 1 - i;
    stored_.set_if_unknown(kv::job_key(it->first), revision);
    return &job;
}

// What was recorded of it counts until it is proved gone.
Job& Ledger::add_ended_job(const JobId& id) {
    auto& job = jobs_[id];
    job.spec.id = id;
    job.spec.task_count = 0;
    job.sequence = ++next_sequence_;
    job.state = JobState::ended;
    job.ended_at = port_.now();
    return job;
}

Job* Ledger::find_job(const JobId& id) {
    const auto it = jobs_.find(id);
    return it == jobs_.end() ? nullptr : &it->second;
}

void Ledger::mark_cancelled(const JobId& id, std::int64_t at_ms) {
    Job* job = find_job(id);
    if (!job || job->state == JobState::ended) return;
    // A done job's end is this leader's own write: the answer to the commit settles it.
    if (job->state == JobState::ending && committing_) return;
    job->state = JobState::ended;
    const auto ago = at_ms > 0 ? std::max<std::int64_t>(0, port_.wall_ms() - at_ms) : 0;
    job->ended_at = port_.now() - Millis(ago);
    job->waiting.clear();
    dirty_.erase(kv::end_key(id));
    for (auto& task : job->tasks) {
        if (!task.at) continue;
        auto& machine = *task.at->machine;
        if (!task.at->committed && !task.at->in_commit) {
            remove(machine, {job->sequence, task.at->index});
        }
        request_commands(machine);
    }
}

void Ledger::mark_done(Job& job, std::uint32_t index) {
    if (index >= job.tasks.size() || job.tasks[index].done || job.state != JobState::open) return;
    job.tasks[index].done = true;
    ++job.done;
    // Seldom: most tasks are placed when they are done, and the list may be long.
    if (!job.tasks[index].at) std::erase(job.waiting, index);
    mark_progress_dirty(job, index, CommitClass::cadence);
    end_if_done(job);
}

void Ledger::end_if_done(Job& job) {
    if (job.state != JobState::open || job.done != job.spec.task_count) return;
    job.state = JobState::ending;
    dirty_.mark(kv::end_key(job.spec.id), CommitClass::end);
}

// A job that it depends on is cancelled: it has begun nothing, and ends with it.
void Ledger::cancel_with_dependency(Job& job) {
    job.state = JobState::ending;
    job.cancelled_with_dependency = true;
    job.waiting.clear();
    dirty_.mark(kv::end_key(job.spec.id), CommitClass::end);
    port_.log(sansio::LogLevel::info, "event=cancelled_with_dependency id={} term={}",
              job.spec.id.get(), election_.term().get());
}

void Ledger::mark_shielded(Job& job, std::uint32_t index) {
    if (index >= job.tasks.size() || job.tasks[index].shielded) return;
    job.tasks[index].shielded = true;
    mark_progress_dirty(job, index, CommitClass::cadence);
}

void Ledger::forget_ended_jobs() {
    for (auto it = jobs_.begin(); it != jobs_.end();) {
        auto& job = it->second;
        if (job.state != JobState::ended || job.placed > 0 ||
            job.parts_read < job.dependency_parts || dirty_.find(kv::end_key(it->first))) {
            ++it;
            continue;
        }
        const auto ranges = std::move(job.ranges);
        const auto id = it->first;
        const auto dependency_parts = job.dependency_parts;
        it = jobs_.erase(it);
        // The job's own record goes last: without it nobody would know what its tasks take.
        for (const auto& range : ranges) {
            // Its first write may be under way.
            if (stored_.contains(range.key) || committing_) {
                dirty_.mark(range.key, CommitClass::cadence);
            } else {
                dirty_.erase(range.key);
            }
        }
        for (std::uint64_t part = 0; part < dependency_parts; ++part) {
            dirty_.mark(kv::dependency_key(id, part), CommitClass::cadence);
        }
        dirty_.mark(kv::job_key(id), CommitClass::cadence);
    }
}

// ---- machines ----

Machine& Ledger::create_machine(const HostName& host) {
    auto& machine = machines_[host];
    machine.host = host;
    machine.worker.known_since = machine.cloud.rented_at = machine.idle_since = port_.now();
    return machine;
}

Machine& Ledger::add_machine(const HostName& host, const std::string& machine_type,
                             const std::string& zone, bool spot) {
    if (auto* known = find_machine(host)) {
        describe(*known, machine_type, zone, spot);
        return *known;
    }
    auto& machine = create_machine(host);
    describe(machine, machine_type, zone, spot);
    machine.rental = "x-" + host.get();
    rentals_[machine.rental] = {{machine.rental, machine_type, zone, spot, 1}, true, {host}};
    dirty_.mark(kRentals + machine.rental, CommitClass::cadence);
    return machine;
}

void Ledger::describe(Machine& machine, const std::string& machine_type, const std::string& zone,
                      bool spot) {
    if (machine.machine_type != machine_type) machine.total = {};
    machine.machine_type = machine_type;
    machine.spot = spot;
    if (machine.zone == zone) return;
    for (auto& [key, p] : machine.tasks) {
        auto& zones = p.job->zones;
        if (--zones[machine.zone] == 0) zones.erase(machine.zone);
        ++zones[zone];
    }
    machine.zone = zone;
}

Machine* Ledger::find_machine(const HostName& host) {
    const auto it = machines_.find(host);
    return it == machines_.end() ? nullptr : &it->second;
}

void Ledger::request_commands(Machine& machine) {
    if (machine.worker.needs_commands) return;
    machine.worker.needs_commands = true;
    needing_commands_.push_back(&machine);
}

std::vector<Machine*> Ledger::take_machines_needing_commands() {
    return std::exchange(needing_commands_, {});
}

void Ledger::leave_rental(const Machine& machine) {
    const auto it = rentals_.find(machine.rental);
    if (it == rentals_.end()) return;
    it->second.hosts.erase(machine.host);
    dirty_.mark(kRentals + machine.rental, CommitClass::cadence);
    if (it->second.hosts.empty()) rentals_.erase(it);
}

void Ledger::drop_machine(Machine& machine) {
    while (!machine.tasks.empty()) remove(machine, machine.tasks.begin()->first);
    leave_rental(machine);
    std::erase(needing_commands_, &machine);
    const auto host = machine.host;
    machines_.erase(host);
}

// ---- placements ----

void Ledger::attach(Machine& machine, Job& job, std::uint32_t index, Placement placement) {
    placement.job = &job;
    placement.machine = &machine;
    placement.index = index;
    const auto [it, added] = machine.tasks.emplace(PlacementKey{job.sequence, index}, placement);
    if (!added) return;
    job.tasks[index].at = &it->second;
    ++job.placed;
    ++job.zones[machine.zone];
    machine.used.add(job.need());
    auto& use = use_[job.spec.team];
    use.cpus += job.spec.cores;
    use.gpus += job.spec.accelerators;
    machine.idle_since = port_.now();
}

void Ledger::mark_progress_dirty(const Job& job, std::uint32_t index, CommitClass commit_class) {
    dirty_.mark(progress_key(job, index), commit_class);
}

void Ledger::place(Job& job, Machine& machine) {
    const auto index = job.waiting.back();
    job.waiting.pop_back();
    Placement p;
    p.attempt = Attempt(++next_attempt_);
    p.placed_at = port_.now();
    attach(machine, job, index, p);
    mark_progress_dirty(job, index, CommitClass::urgent);
}

void Ledger::restore_placement(Job& job, std::uint32_t index, Machine& machine, Attempt attempt) {
    Placement p;
    p.attempt = attempt;
    p.committed = true;
    p.sent = StartDelivery::settled;
    p.placed_at = port_.now();
    attach(machine, job, index, p);
}

void Ledger::remove(Machine& machine, PlacementKey key) {
    const auto it = machine.tasks.find(key);
    if (it == machine.tasks.end()) return;
    set_running(it->second, false);
    auto& job = *it->second.job;
    const auto index = it->second.index;
    if (it->second.stopping) machine.leaving.subtract(job.need());
    machine.used.subtract(job.need());
    machine.tasks.erase(it);
    if (machine.tasks.empty()) machine.used = machine.leaving = {};
    auto& task = job.tasks[index];
    task.at = nullptr;
    --job.placed;
    if (--job.zones[machine.zone] == 0) job.zones.erase(machine.zone);
    auto& use = use_[job.spec.team];
    use.cpus -= job.spec.cores;
    use.gpus -= job.spec.accelerators;
    if (use.cpus < kLeastUse) use.cpus = 0;
    if (use.gpus < kLeastUse) use.gpus = 0;
    if (job.state == JobState::open && !task.done) job.waiting.push_back(index);
    machine.idle_since = port_.now();
    mark_progress_dirty(job, index, CommitClass::cadence);
}

void Ledger::set_stopping(Placement& p) {
    if (p.stopping) return;
    p.stopping = true;
    p.machine->leaving.add(p.job->need());
}

void Ledger::set_running(Placement& p, bool running) {
    const bool was = p.running_since != Instant{};
    if (was == running) return;
    p.running_since = running ? port_.now() : Instant{};
    running ? ++p.job->running : --p.job->running;
}

// ---- rentals ----

void Ledger::add_rental(const wire::RentalRequest& request) {
    rentals_[request.idempotency_key].request = request;
    open_rentals_.insert(request.idempotency_key);
    dirty_.mark(kRentals + request.idempotency_key, CommitClass::urgent);
}

void Ledger::restore_rental(RentalRecord rental) {
    const auto key = rental.request.idempotency_key;
    if (!rental.answered) open_rentals_.insert(key);
    for (const auto& host : rental.hosts) {
        auto& machine = create_machine(host);
        describe(machine, rental.request.machine_type, rental.request.zone, rental.request.spot);
        machine.rental = key;
    }
    rentals_.emplace(key, std::move(rental));
}

void Ledger::rental_answered(const std::string& idempotency_key,
                             const std::vector<HostName>& hosts) {
    const auto it = rentals_.find(idempotency_key);
    if (it == rentals_.end()) return;
    open_rentals_.erase(idempotency_key);
    auto& rental = it->second;
    rental.answered = true;
    for (const auto& host : hosts) {
        auto* known = find_machine(host);
        // It may have reported before the rental was answered.
        if (known) leave_rental(*known);
        auto& machine = known ? *known : create_machine(host);
        describe(machine, rental.request.machine_type, rental.request.zone, rental.request.spot);
        machine.rental = idempotency_key;
        rental.hosts.insert(host);
    }
    dirty_.mark(kRentals + idempotency_key, CommitClass::cadence);
    if (rental.hosts.empty()) rentals_.erase(it);
}

bool Ledger::rental_committed(const std::string& idempotency_key) const {
    return stored_.contains(kRentals + idempotency_key);
}

// ---- records ----

void Ledger::use_format(std::uint64_t format) {
    if (format <= format_ || !loaded_) return;
    format_ = format;
    port_.log(sansio::LogLevel::info, "event=format version={}", format);
    dirty_.mark(kv::kFormatMark, CommitClass::end);
}

}  // namespace dunebridge::state
