#include "core/ledger.hpp"

#include <algorithm>

namespace dunebridge::core {

using state::Outcome;
using wire::Value;
using wire::Writer;

namespace {

constexpr const char* kJobs = "job/";
constexpr const char* kEnds = "end/";
constexpr const char* kProgress = "prog/";
constexpr const char* kMachines = "mach/";
constexpr const char* kClaims = "rent/";

constexpr std::uint32_t kChunk = 8192;  // tasks in one progress record
constexpr Millis kCommitEvery{30};
constexpr Millis kCommitRetry{120};
constexpr Millis kCommitTimeout{2500};
constexpr Millis kWatchWait{8000};
constexpr Millis kWatchRetry{300};
constexpr Millis kWatchPause{20};
// The protocol's limit of 64 KiB counts JSON, which is larger than what is packed here.
constexpr std::size_t kTxnBytes = 36 * 1024;
// The rest of the write budget is for submissions and cancellations at any node.
constexpr double kWriteShare = 0.6;
constexpr int kAttemptBits = 28;

std::string after(const std::string& key, std::string_view prefix) {
    return key.substr(prefix.size());
}

std::string chunk_key(const JobId& id, std::uint32_t chunk) {
    return kProgress + id.get() + "/" + std::to_string(chunk);
}

// Sets of tasks as text, four to a hexadecimal digit: values may hold no binary data.
template <class Get>
std::string to_hex(std::uint32_t from, std::uint32_t to, Get get) {
    constexpr const char* digits = "0123456789abcdef";
    std::string out;
    for (std::uint32_t i = from; i < to; i += 4) {
        unsigned digit = 0;
        for (std::uint32_t b = 0; b < 4 && i + b < to; ++b) digit |= get(i + b) ? 1u << b : 0u;
        out += digits[digit];
    }
    while (!out.empty() && out.back() == '0') out.pop_back();
    return out;
}

template <class Set>
void from_hex(std::string_view hex, std::uint32_t from, std::uint32_t size, Set set) {
    for (std::size_t d = 0; d < hex.size(); ++d) {
        const char c = hex[d];
        const unsigned digit =
            c <= '9' ? static_cast<unsigned>(c - '0') : static_cast<unsigned>(c - 'a') + 10u;
        for (std::uint32_t b = 0; b < 4; ++b) {
            const auto index = from + static_cast<std::uint32_t>(d) * 4 + b;
            if ((digit >> b & 1u) != 0 && index < size) set(index);
        }
    }
}

}  // namespace

Ledger::Ledger(Port& port, state::Store& store, cluster::Election& election, const Config& config)
    : port_(port),
      store_(store),
      election_(election),
      config_(config),
      writes_(kWriteShare * config.state_write_rps) {}

bool Ledger::current(std::uint64_t generation) const {
    return generation == generation_ && election_.is_leader() &&
           election_.generation() == generation;
}

void Ledger::clear() {
    loaded_ = false;
    jobs_.clear();
    machines_.clear();
    claims_.clear();
    use_.clear();
    dirty_.clear();
    stored_.clear();
    in_commit_ = false;
}

// ---- loading ----

void Ledger::load() {
    clear();
    generation_ = election_.generation();
    next_attempt_ = election_.term().get() << kAttemptBits;
    load_next(0, generation_);
}

void Ledger::load_next(std::size_t step, std::uint64_t generation) {
    struct Step {
        const char* prefix;
        void (Ledger::*take)(const state::ListResult&);
    };
    static constexpr Step steps[] = {{kJobs, &Ledger::load_jobs},
                                     {kProgress, &Ledger::load_progress},
                                     {kMachines, &Ledger::load_machines},
                                     {kClaims, &Ledger::load_claims}};
    if (step == std::size(steps)) {
        std::vector<JobId> ids;
        for (const auto& [id, job] : jobs_) ids.push_back(id);
        check_ends(std::move(ids), generation);
        return;
    }
    store_.list(steps[step].prefix, [this, step, generation](const state::ListResult& result) {
        if (!current(generation)) return;
        if (!result.answered) {
            // Without its ledger this node can do nothing: a new term reads it again.
            election_.renew_term();
            return;
        }
        if (step == 0) load_rev_ = result.rev;
        (this->*steps[step].take)(result);
        load_next(step + 1, generation);
    });
}

void Ledger::load_jobs(const state::ListResult& result) {
    for (const auto& row : result.rows) {
        try {
            add_job(wire::decode_job(row.value["spec"]),
                    static_cast<std::int64_t>(row.value["at"].need_count("at")));
        } catch (const wire::DecodeError& e) {
            port_.log(LogLevel::error, "event=bad_record key={} error=\"{}\"", row.key, e.what());
        }
    }
}

void Ledger::load_progress(const state::ListResult& result) {
    for (const auto& row : result.rows) {
        stored_.insert(row.key);
        const auto slash = row.key.rfind('/');
        const auto start = std::string_view(kProgress).size();
        Job* job = slash > start ? find_job(JobId(row.key.substr(start, slash - start))) : nullptr;
        if (!job) {
            mark(row.key);  // left behind by a job that is over
            continue;
        }
        const auto from =
            static_cast<std::uint32_t>(std::stoul(row.key.substr(slash + 1))) * kChunk;
        const auto size = job->spec.shards;
        from_hex(row.value["done"].text().value_or(""), from, size,
                 [&](std::uint32_t i) { job->tasks[i].done = true; });
        from_hex(row.value["shielded"].text().value_or(""), from, size,
                 [&](std::uint32_t i) { job->tasks[i].shielded = true; });
    }
    for (auto& [id, job] : jobs_) {
        std::erase_if(job.waiting, [&](std::uint32_t i) { return job.tasks[i].done; });
        job.done = static_cast<std::uint32_t>(std::count_if(job.tasks.begin(), job.tasks.end(),
                                                            [](const Task& t) { return t.done; }));
        if (job.done == job.spec.shards) {
            job.state = JobState::ending;
            mark(kEnds + id.get());
        }
    }
}

void Ledger::load_machines(const state::ListResult& result) {
    for (const auto& row : result.rows) {
        stored_.insert(row.key);
        const auto v = row.value;
        const HostName host(after(row.key, kMachines));
        auto& machine = add_machine(host, std::string(v["endpoint"].text().value_or("")),
                                    std::string(v["shape"].text().value_or("")),
                                    std::string(v["region"].text().value_or("")),
                                    v["spot"].boolean().value_or(false));
        machine.was_up = v["up"].boolean().value_or(false);
        dirty_.erase(row.key);
        const auto tasks = v["tasks"];
        for (std::size_t i = 0; i < tasks.size(); ++i) {
            const auto t = tasks.at(i);
            if (t.size() < 3) continue;
            const JobId id{std::string(t.at(0).text().value_or(""))};
            const auto index = static_cast<std::uint32_t>(t.at(1).count().value_or(0));
            Job* job = find_job(id);
            if (!job) {
                // The job is over and its record gone; what was recorded counts until proved gone.
                job = &jobs_[id];
                job->spec.id = id;
                job->spec.shards = 0;
                job->serial = ++next_serial_;
                job->state = JobState::ended;
                job->ended_at = port_.now();
            }
            if (index >= job->tasks.size()) {
                if (job->spec.shards != 0) continue;
                job->tasks.resize(index + 1);
            }
            Placement p;
            p.attempt = Attempt(t.at(2).count().value_or(0));
            p.committed = true;
            p.sent = Sent::settled;
            p.placed_at = port_.now();
            attach(machine, *job, index, p);
            std::erase(job->waiting, index);
        }
    }
}

void Ledger::load_claims(const state::ListResult& result) {
    for (const auto& row : result.rows) {
        try {
            auto request = wire::decode_rental(row.value);
            stored_.insert(row.key);
            claims_.emplace(request.claim, std::move(request));
        } catch (const wire::DecodeError& e) {
            port_.log(LogLevel::error, "event=bad_record key={} error=\"{}\"", row.key, e.what());
        }
    }
}

// Which of the open jobs have ended: compare-only transactions that name those with an end.
void Ledger::check_ends(std::vector<JobId> ids, std::uint64_t generation) {
    if (ids.empty()) {
        loaded_ = true;
        port_.log(LogLevel::info, "event=ledger_loaded term={} jobs={} machines={} claims={}",
                  election_.term().get(), jobs_.size(), machines_.size(), claims_.size());
        watch(kJobs, load_rev_, generation);
        watch(kEnds, load_rev_, generation);
        return;
    }
    const auto n = std::min(ids.size(), store_.max_guards() / 2);
    std::vector<wire::Guard> guards;
    for (std::size_t i = 0; i < n; ++i) guards.push_back({kEnds + ids[i].get(), KeyRev()});
    store_.multi(
        guards, {}, kCommitTimeout,
        [this, ids = std::move(ids), n, generation](const state::MultiResult& result) mutable {
            if (!current(generation)) return;
            if (result.outcome == Outcome::ok) {
                ids.erase(ids.begin(), ids.begin() + static_cast<std::ptrdiff_t>(n));
                check_ends(std::move(ids), generation);
                return;
            }
            if (result.outcome != Outcome::conflict || result.failed.empty()) {
                election_.renew_term();
                return;
            }
            for (const auto& key : result.failed) {
                const JobId id(after(key, kEnds));
                withdraw(id, port_.wall_ms());
                std::erase(ids, id);
            }
            check_ends(std::move(ids), generation);
        });
}

void Ledger::watch(const char* prefix, KeyRev from, std::uint64_t generation) {
    store_.watch(prefix, from, kWatchWait,
                 [this, prefix, from, generation](const state::WatchResult& result) {
                     if (!current(generation)) return;
                     if (result.kind == state::WatchResult::Kind::too_old) {
                         election_.renew_term();
                         return;
                     }
                     const bool failed = result.kind == state::WatchResult::Kind::failed;
                     for (const auto& change : result.changes) apply_change(change);
                     // A short pause gathers changes that come together into one answer.
                     port_.after(failed ? kWatchRetry : kWatchPause,
                                 [this, prefix, generation, next = failed ? from : result.rev] {
                                     if (current(generation)) watch(prefix, next, generation);
                                 });
                 });
}

void Ledger::apply_change(const state::Change& change) {
    if (change.removed) return;
    if (change.key.starts_with(kJobs)) {
        try {
            add_job(wire::decode_job(change.value["spec"]),
                    static_cast<std::int64_t>(change.value["at"].need_count("at")));
        } catch (const wire::DecodeError& e) {
            port_.log(LogLevel::error, "event=bad_record key={} error=\"{}\"", change.key,
                      e.what());
        }
    } else if (change.key.starts_with(kEnds)) {
        withdraw(JobId(after(change.key, kEnds)),
                 static_cast<std::int64_t>(change.value["at"].count().value_or(0)));
    }
}

// ---- jobs ----

void Ledger::add_job(wire::JobSpec spec, std::int64_t submitted_ms) {
    const auto [it, added] = jobs_.try_emplace(spec.id);
    if (!added) return;
    auto& job = it->second;
    job.spec = std::move(spec);
    job.serial = ++next_serial_;
    // Time of day may differ between nodes; a job is never from the future.
    const auto age = std::max<std::int64_t>(0, port_.wall_ms() - submitted_ms);
    job.submitted = port_.now() - Millis(age);
    job.tasks.resize(job.spec.shards);
    job.waiting.resize(job.spec.shards);
    for (std::uint32_t i = 0; i < job.spec.shards; ++i) job.waiting[i] = job.spec.shards - 1 - i;
    stored_.insert(kJobs + it->first.get());
}

Job* Ledger::find_job(const JobId& id) {
    const auto it = jobs_.find(id);
    return it == jobs_.end() ? nullptr : &it->second;
}

void Ledger::withdraw(const JobId& id, std::int64_t at_ms) {
    Job* job = find_job(id);
    if (!job || job->state == JobState::ended) return;
    // A done job's end is this leader's own write: the answer to the commit settles it.
    if (job->state == JobState::ending && in_commit_) return;
    job->state = JobState::ended;
    const auto ago = at_ms > 0 ? std::max<std::int64_t>(0, port_.wall_ms() - at_ms) : 0;
    job->ended_at = port_.now() - Millis(ago);
    job->waiting.clear();
    dirty_.erase(kEnds + id.get());
    for (auto& [host, machine] : machines_) {
        std::vector<PlacementKey> unsent;
        for (const auto& [key, p] : machine.tasks) {
            if (p.job == job && !p.committed && !p.in_commit) unsent.push_back(key);
        }
        for (const auto& key : unsent) remove(machine, key);
        machine.wants_orders = true;
    }
}

void Ledger::mark_done(Job& job, std::uint32_t index) {
    if (index >= job.tasks.size() || job.tasks[index].done || job.state != JobState::open) return;
    job.tasks[index].done = true;
    ++job.done;
    // Seldom: most tasks are placed when they are done, and the list may be long.
    if (job.tasks[index].placements == 0) std::erase(job.waiting, index);
    mark_progress(job, index);
    if (job.done == job.spec.shards) {
        job.state = JobState::ending;
        mark(kEnds + job.spec.id.get());
    }
}

void Ledger::mark_shielded(Job& job, std::uint32_t index) {
    if (index >= job.tasks.size() || job.tasks[index].shielded) return;
    job.tasks[index].shielded = true;
    mark_progress(job, index);
}

void Ledger::tidy() {
    const auto upto = committed();
    for (auto it = jobs_.begin(); it != jobs_.end();) {
        auto& job = it->second;
        if (job.state != JobState::ended || job.placed > 0 || job.last_change > upto ||
            dirty_.contains(kEnds + it->first.get())) {
            ++it;
            continue;
        }
        const auto chunks = (job.spec.shards + kChunk - 1) / kChunk;
        const auto id = it->first;
        it = jobs_.erase(it);
        for (std::uint32_t c = 0; c < chunks; ++c) mark(chunk_key(id, c));
        mark(kJobs + id.get());
    }
}

// ---- machines ----

Machine& Ledger::add_machine(const HostName& host, const std::string& endpoint,
                             const std::string& shape, const std::string& region, bool spot) {
    const auto [it, added] = machines_.try_emplace(host);
    auto& machine = it->second;
    if (!added) return machine;
    machine.host = host;
    machine.endpoint = endpoint;
    machine.shape = shape;
    machine.region = region;
    machine.spot = spot;
    machine.known_since = machine.rented_at = machine.idle_since = port_.now();
    mark(kMachines + host.get());
    return machine;
}

Machine* Ledger::find_machine(const HostName& host) {
    const auto it = machines_.find(host);
    return it == machines_.end() ? nullptr : &it->second;
}

void Ledger::mark_up(Machine& machine) {
    if (machine.was_up) return;
    machine.was_up = true;
    mark(kMachines + machine.host.get());
}

void Ledger::drop_machine(Machine& machine) {
    while (!machine.tasks.empty()) remove(machine, machine.tasks.begin()->first);
    const auto host = machine.host;
    mark(kMachines + host.get());
    machines_.erase(host);
}

// ---- placements ----

void Ledger::attach(Machine& machine, Job& job, std::uint32_t index, Placement placement) {
    placement.job = &job;
    placement.index = index;
    if (!machine.tasks.emplace(PlacementKey{job.serial, index}, placement).second) return;
    ++job.tasks[index].placements;
    ++job.placed;
    ++job.zones[machine.region];
    auto& use = use_[job.spec.owner];
    use.cpus += job.spec.cores;
    use.gpus += job.spec.accelerators;
    machine.idle_since = port_.now();
}

void Ledger::place(Job& job, Machine& machine) {
    const auto index = job.waiting.back();
    job.waiting.pop_back();
    Placement p;
    p.attempt = Attempt(++next_attempt_);
    p.placed_at = port_.now();
    attach(machine, job, index, p);
    mark(kMachines + machine.host.get());
    job.last_change = version_;
}

void Ledger::remove(Machine& machine, PlacementKey key) {
    const auto it = machine.tasks.find(key);
    if (it == machine.tasks.end()) return;
    set_running(it->second, false);
    auto& job = *it->second.job;
    const auto index = it->second.index;
    machine.tasks.erase(it);
    auto& task = job.tasks[index];
    --task.placements;
    --job.placed;
    if (--job.zones[machine.region] == 0) job.zones.erase(machine.region);
    auto& use = use_[job.spec.owner];
    use.cpus -= job.spec.cores;
    use.gpus -= job.spec.accelerators;
    // Sums of decimals must not leave a remainder that looks like use.
    if (use.cpus < 1e-9) use.cpus = 0;
    if (use.gpus < 1e-9) use.gpus = 0;
    if (job.state == JobState::open && !task.done && task.placements == 0) {
        job.waiting.push_back(index);
    }
    machine.idle_since = port_.now();
    mark(kMachines + machine.host.get());
    job.last_change = version_;
}

void Ledger::set_running(Placement& p, bool running) {
    const bool was = p.running_since != Instant{};
    if (was == running) return;
    p.running_since = running ? port_.now() : Instant{};
    running ? ++p.job->running : --p.job->running;
}

// ---- rentals ----

void Ledger::add_claim(const wire::RentalRequest& request) {
    claims_.emplace(request.claim, request);
    mark(kClaims + request.claim);
}

void Ledger::remove_claim(const std::string& claim) {
    claims_.erase(claim);
    mark(kClaims + claim);
}

bool Ledger::claim_committed(const std::string& claim) const {
    return stored_.contains(kClaims + claim);
}

// ---- committing ----

void Ledger::mark(const std::string& key) {
    ++version_;
    auto& d = dirty_[key];
    if (d.first == 0) d.first = version_;
    d.last = version_;
}

void Ledger::mark_progress(const Job& job, std::uint32_t index) {
    mark(chunk_key(job.spec.id, index / kChunk));
}

Version Ledger::committed() const {
    Version v = version_;
    for (const auto& [key, d] : dirty_) v = std::min(v, d.first - 1);
    return v;
}

std::string Ledger::machine_value(const Machine& m) const {
    Writer w;
    w.map(6).text("endpoint").text(m.endpoint).text("shape").text(m.shape);
    w.text("region").text(m.region).text("spot").boolean(m.spot).text("up").boolean(m.was_up);
    w.text("tasks").list(m.tasks.size());
    for (const auto& [key, p] : m.tasks) {
        w.list(3).text(p.job->spec.id.get()).count(p.index).count(p.attempt.get());
    }
    return w.take();
}

std::string Ledger::progress_value(const Job& job, std::uint32_t chunk) const {
    const auto from = chunk * kChunk;
    const auto to = std::min(from + kChunk, job.spec.shards);
    const auto done = to_hex(from, to, [&](std::uint32_t i) { return job.tasks[i].done; });
    const auto shielded = to_hex(from, to, [&](std::uint32_t i) { return job.tasks[i].shielded; });
    return Writer().map(2).text("done").text(done).text("shielded").text(shielded).take();
}

std::optional<std::string> Ledger::value_of(const std::string& key) {
    const auto slash = key.find('/');
    const auto prefix = std::string_view(key).substr(0, slash + 1);
    const auto name = key.substr(slash + 1);
    if (prefix == kMachines) {
        const auto* machine = find_machine(HostName(name));
        if (machine) return machine_value(*machine);
    } else if (prefix == kProgress) {
        const auto cut = name.rfind('/');
        const auto* job = find_job(JobId(name.substr(0, cut)));
        if (job && job->spec.shards > 0) {
            return progress_value(*job,
                                  static_cast<std::uint32_t>(std::stoul(name.substr(cut + 1))));
        }
    } else if (prefix == kClaims) {
        const auto it = claims_.find(name);
        if (it != claims_.end()) return wire::encode(it->second);
    } else if (prefix == kEnds) {
        const auto* job = find_job(JobId(name));
        if (job) {
            return Writer()
                .map(3)
                .text("phase")
                .text(wire::name_of(wire::JobPhase::done))
                .text("shards")
                .count(job->spec.shards)
                .text("at")
                .count(static_cast<std::uint64_t>(port_.wall_ms()))
                .take();
        }
    }
    return std::nullopt;
}

// Placements may only be recorded for jobs without an end: one guard for each job concerned.
bool Ledger::guard_placements(const std::string& key, std::vector<wire::Guard>& guards,
                              std::set<std::string>& guarded, std::size_t room) const {
    if (!key.starts_with(kMachines)) return true;
    const auto it = machines_.find(HostName(after(key, kMachines)));
    if (it == machines_.end()) return true;
    for (const auto& [k, p] : it->second.tasks) {
        if (p.committed) continue;
        const auto end = kEnds + p.job->spec.id.get();
        if (!guarded.insert(end).second) continue;
        if (guards.size() >= room) return false;
        guards.push_back({end, KeyRev()});
    }
    return true;
}

void Ledger::flush() {
    if (!loaded_ || in_commit_ || dirty_.empty() || !election_.is_leader()) return;
    const auto now = port_.now();
    if (now < next_commit_) {
        port_.wake_at(next_commit_);
        return;
    }
    std::vector<std::pair<Version, std::string>> order;
    for (const auto& [key, d] : dirty_) order.emplace_back(d.first, key);
    std::sort(order.begin(), order.end());

    Commit commit;
    commit.version = version_;
    std::vector<wire::Guard> guards{election_.guard()};
    std::set<std::string> guarded;
    std::vector<wire::Write> writes;
    std::size_t bytes = 0;
    for (const auto& [first, key] : order) {
        if (writes.size() >= config_.state_txn_ops || bytes > kTxnBytes) break;
        auto value = value_of(key);
        if (!value && !stored_.contains(key)) {
            dirty_.erase(key);
            continue;
        }
        if (!guard_placements(key, guards, guarded, store_.max_guards() - 1)) break;
        if (key.starts_with(kEnds) && guarded.insert(key).second) guards.push_back({key, KeyRev()});
        bytes += key.size() + (value ? value->size() : 0) + 64;
        writes.push_back({key, std::move(value), std::nullopt});
        commit.keys.emplace_back(key, writes.back().value.has_value());
    }
    if (writes.empty()) return;
    const auto cost = static_cast<double>(writes.size());
    if (!writes_.take(cost, now)) {
        next_commit_ = writes_.ready_at(cost, now);
        port_.wake_at(next_commit_);
        return;
    }
    for (const auto& [key, set] : commit.keys) {
        if (!key.starts_with(kMachines)) continue;
        auto* machine = find_machine(HostName(after(key, kMachines)));
        if (!machine) continue;
        for (auto& [k, p] : machine->tasks) p.in_commit = !p.committed;
    }
    in_commit_ = true;
    next_commit_ = now + kCommitEvery;
    store_.multi(guards, writes, kCommitTimeout,
                 [this, commit, generation = generation_](const state::MultiResult& result) {
                     if (current(generation)) finish_commit(commit, result);
                 });
}

void Ledger::finish_commit(const Commit& commit, const state::MultiResult& result) {
    in_commit_ = false;
    if (result.outcome == Outcome::ok) {
        committed_keys(commit);
        return;
    }
    if (result.outcome == Outcome::unknown) {
        // It may be applied at any later time. A new term over the own key fences it off.
        port_.log(LogLevel::info, "event=commit_unknown term={}", election_.term().get());
        election_.renew_term();
        return;
    }
    for (auto& [host, machine] : machines_) {
        for (auto& [key, p] : machine.tasks) p.in_commit = false;
    }
    if (result.outcome == Outcome::conflict) {
        conflict(result);
    } else {
        next_commit_ = port_.now() + kCommitRetry + port_.jitter(kCommitRetry);
    }
}

void Ledger::committed_keys(const Commit& commit) {
    for (const auto& [key, set] : commit.keys) {
        const auto it = dirty_.find(key);
        if (it != dirty_.end()) {
            if (it->second.last <= commit.version) {
                dirty_.erase(it);
            } else {
                it->second.first = commit.version + 1;
            }
        }
        if (key.starts_with(kEnds)) {
            end_committed(JobId(after(key, kEnds)));
            continue;
        }
        set ? (void)stored_.insert(key) : (void)stored_.erase(key);
        if (!key.starts_with(kMachines)) continue;
        auto* machine = find_machine(HostName(after(key, kMachines)));
        if (!machine) continue;
        for (auto& [k, p] : machine->tasks) {
            if (!p.in_commit) continue;
            p.in_commit = false;
            p.committed = true;
            machine->wants_orders = true;
        }
    }
}

void Ledger::end_committed(const JobId& id) {
    Job* job = find_job(id);
    if (!job) return;
    job->state = JobState::ended;
    job->ended_at = port_.now();
    port_.log(LogLevel::info, "event=job_done id={} term={}", id.get(), election_.term().get());
}

void Ledger::conflict(const state::MultiResult& result) {
    bool explained = false;
    for (const auto& key : result.failed) {
        if (!key.starts_with(kEnds)) continue;
        // The user's cancellation came first.
        explained = true;
        withdraw(JobId(after(key, kEnds)), port_.wall_ms());
    }
    if (explained) return;
    // The leader key has changed. Standing again over the old revision fails if another leads.
    election_.renew_term();
}

}  // namespace dunebridge::core
