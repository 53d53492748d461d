#include "core/ledger.hpp"

#include <algorithm>
#include <limits>
#include <tuple>

namespace dunebridge::core {

using state::Outcome;
using wire::Value;
using wire::Writer;

namespace {

constexpr const char* kJobs = "job/";
constexpr const char* kEnds = "end/";
constexpr const char* kProgress = "prog/";
constexpr const char* kGroups = "rent/";

constexpr std::uint64_t kFormat = 2;  // of prog/ and rent/ records
// Tasks in one progress record. Each on a machine of its own takes some 45 bytes, so that a full
// record stays under 16 KiB.
constexpr std::uint32_t kChunk = 256;
constexpr Millis kCommitEvery{30};
constexpr Millis kCommitEveryWhenShort{200};
constexpr Millis kCommitRetry{120};
constexpr Millis kCommitTimeout{2500};
// What is proved done or gone is on the workers' lists until it is on record.
constexpr Millis kCadence{1500};
constexpr Millis kWatchWait{8000};
constexpr Millis kWatchRetry{300};
constexpr Millis kWatchPause{20};
constexpr Millis kStandAside{20000};
constexpr std::size_t kTxnBytes = 60 * 1024;  // of the protocol's 64 KiB
constexpr std::size_t kGuardBytes = 64;       // a guard's part of a transaction, at most
// The rest of the write budget is for submissions and cancellations at any node.
constexpr double kWriteShare = 0.6;

std::string after(const std::string& key, std::string_view prefix) {
    return key.substr(prefix.size());
}

std::string chunk_key(const JobId& id, std::uint32_t chunk) {
    return kProgress + id.get() + "/" + std::to_string(chunk);
}

std::uint32_t chunks_of(const Job& job) {
    return static_cast<std::uint32_t>((job.tasks.size() + kChunk - 1) / kChunk);
}

void need_format(const Value& record) {
    if (record["v"].count() != kFormat) throw wire::DecodeError("unknown version");
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
    groups_.clear();
    open_claims_.clear();
    wanting_.clear();
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
                                     {kGroups, &Ledger::load_groups},
                                     {kProgress, &Ledger::load_progress}};
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
        if (current(generation)) load_next(step + 1, generation);
    });
}

// A record that cannot be read stops the load: going on without it would lose a job or a task. A
// node that knows the format may lead meanwhile.
void Ledger::bad_record(const std::string& key, const std::string& error) {
    port_.log(LogLevel::error, "event=bad_record key={} error=\"{}\"", key, error);
    election_.resign(kStandAside);
}

void Ledger::load_jobs(const state::ListResult& result) {
    for (const auto& row : result.rows) {
        try {
            add_job(wire::decode_job(row.value["spec"]),
                    static_cast<std::int64_t>(row.value["at"].need_count("at")));
        } catch (const wire::DecodeError& e) {
            bad_record(row.key, e.what());
            return;
        }
    }
}

void Ledger::load_groups(const state::ListResult& result) {
    for (const auto& row : result.rows) {
        try {
            need_format(row.value);
            Group group;
            group.request = wire::decode_rental(row.value);
            stored_[row.key] = row.rev;
            const auto claim = group.request.claim;
            if (!row.value["hosts"].is_list()) {
                open_claims_.insert(claim);
                groups_.emplace(claim, std::move(group));
                continue;
            }
            group.answered = true;
            for (const auto& host : wire::decode_hosts(row.value)) {
                auto& machine = new_machine(host);
                describe(machine, group.request.shape, group.request.region,
                         group.request.reclaimable);
                machine.group = claim;
                group.hosts.insert(host);
            }
            groups_.emplace(claim, std::move(group));
        } catch (const wire::DecodeError& e) {
            bad_record(row.key, e.what());
            return;
        }
    }
}

void Ledger::load_progress(const state::ListResult& result) {
    for (const auto& row : result.rows) {
        try {
            need_format(row.value);
            load_chunk(row);
        } catch (const wire::DecodeError& e) {
            bad_record(row.key, e.what());
            return;
        }
    }
    for (auto& [id, job] : jobs_) {
        std::erase_if(job.waiting, [&](std::uint32_t i) {
            return job.tasks[i].done || job.tasks[i].at != nullptr;
        });
        job.done = static_cast<std::uint32_t>(std::count_if(job.tasks.begin(), job.tasks.end(),
                                                            [](const Task& t) { return t.done; }));
        if (job.state == JobState::open && job.done == job.spec.shards) {
            job.state = JobState::ending;
            mark(kEnds + id.get(), Pace::end);
        }
    }
}

void Ledger::load_chunk(const state::Row& row) {
    const auto slash = row.key.rfind('/');
    const auto start = std::string_view(kProgress).size();
    if (slash == std::string::npos || slash <= start) throw wire::DecodeError("key");
    const JobId id(row.key.substr(start, slash - start));
    const auto from = static_cast<std::uint32_t>(row.value["from"].need_count("from"));
    stored_[row.key] = row.rev;
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
    if (job->spec.shards == 0 && job->tasks.size() < from + kChunk)
        job->tasks.resize(from + kChunk);
    const auto size = static_cast<std::uint32_t>(job->tasks.size());
    from_hex(row.value["done"].need_text("done"), from, size,
             [&](std::uint32_t i) { job->tasks[i].done = true; });
    from_hex(row.value["shielded"].need_text("shielded"), from, size,
             [&](std::uint32_t i) { job->tasks[i].shielded = true; });
    const auto base = row.value["base"].need_count("base");
    const auto hosts = row.value["tasks"];
    for (std::size_t h = 0; h < hosts.size(); ++h) {
        const auto entry = hosts.at(h);
        if (entry.size() < 1) throw wire::DecodeError("tasks");
        const HostName host(entry.at(0).need_text("host"));
        for (std::size_t i = 1; i + 1 < entry.size(); i += 2) {
            const auto index = from + entry.at(i).need_count("index");
            if (index >= size) throw wire::DecodeError("index");
            load_placement(*job, static_cast<std::uint32_t>(index), host,
                           Attempt(base + entry.at(i + 1).need_count("try")));
        }
    }
}

void Ledger::load_placement(Job& job, std::uint32_t index, const HostName& host, Attempt attempt) {
    Machine* machine = find_machine(host);
    if (!machine) {
        // No rental names it (any more): it counts all the same, until it is proved gone.
        machine = &new_machine(host);
        leave_group(*machine);
    }
    Placement p;
    p.attempt = attempt;
    p.committed = true;
    p.sent = Sent::settled;
    p.placed_at = port_.now();
    attach(*machine, job, index, p);
}

// Which of the open jobs have ended: compare-only transactions that name those with an end.
void Ledger::check_ends(std::vector<JobId> ids, std::uint64_t generation) {
    if (ids.empty()) {
        loaded_ = true;
        port_.log(LogLevel::info, "event=ledger_loaded term={} jobs={} machines={} claims={}",
                  election_.term().get(), jobs_.size(), machines_.size(), open_claims_.size());
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
    stored_.try_emplace(kJobs + it->first.get());
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
    for (auto& task : job->tasks) {
        if (!task.at) continue;
        auto& machine = *task.at->machine;
        if (!task.at->committed && !task.at->in_commit) {
            remove(machine, {job->serial, task.at->index});
        }
        want_orders(machine);
    }
}

void Ledger::mark_done(Job& job, std::uint32_t index) {
    if (index >= job.tasks.size() || job.tasks[index].done || job.state != JobState::open) return;
    job.tasks[index].done = true;
    ++job.done;
    // Seldom: most tasks are placed when they are done, and the list may be long.
    if (!job.tasks[index].at) std::erase(job.waiting, index);
    mark_progress(job, index, Pace::cadence);
    if (job.done == job.spec.shards) {
        job.state = JobState::ending;
        mark(kEnds + job.spec.id.get(), Pace::end);
    }
}

void Ledger::mark_shielded(Job& job, std::uint32_t index) {
    if (index >= job.tasks.size() || job.tasks[index].shielded) return;
    job.tasks[index].shielded = true;
    mark_progress(job, index, Pace::cadence);
}

void Ledger::tidy() {
    for (auto it = jobs_.begin(); it != jobs_.end();) {
        auto& job = it->second;
        if (job.state != JobState::ended || job.placed > 0 ||
            dirty_.contains(kEnds + it->first.get())) {
            ++it;
            continue;
        }
        const auto chunks = chunks_of(job);
        const auto id = it->first;
        it = jobs_.erase(it);
        // The job's own record goes last: without it nobody would know what its tasks take.
        for (std::uint32_t c = 0; c < chunks; ++c) {
            const auto key = chunk_key(id, c);
            // Its first write may be under way.
            stored_.contains(key) || in_commit_ ? mark(key, Pace::cadence)
                                                : (void)dirty_.erase(key);
        }
        mark(kJobs + id.get(), Pace::cadence);
    }
}

// ---- machines ----

Machine& Ledger::new_machine(const HostName& host) {
    auto& machine = machines_[host];
    machine.host = host;
    machine.known_since = machine.rented_at = machine.idle_since = port_.now();
    return machine;
}

Machine& Ledger::add_machine(const HostName& host, const std::string& shape,
                             const std::string& region, bool spot) {
    if (auto* known = find_machine(host)) {
        describe(*known, shape, region, spot);
        return *known;
    }
    auto& machine = new_machine(host);
    describe(machine, shape, region, spot);
    machine.group = "x-" + host.get();
    groups_[machine.group] = {{machine.group, shape, region, spot, 1}, true, {host}};
    mark(kGroups + machine.group, Pace::cadence);
    return machine;
}

void Ledger::describe(Machine& machine, const std::string& shape, const std::string& region,
                      bool spot) {
    if (machine.shape != shape) machine.total = {};
    machine.shape = shape;
    machine.spot = spot;
    if (machine.region == region) return;
    for (auto& [key, p] : machine.tasks) {
        auto& zones = p.job->zones;
        if (--zones[machine.region] == 0) zones.erase(machine.region);
        ++zones[region];
    }
    machine.region = region;
}

Machine* Ledger::find_machine(const HostName& host) {
    const auto it = machines_.find(host);
    return it == machines_.end() ? nullptr : &it->second;
}

void Ledger::want_orders(Machine& machine) {
    if (machine.wants_orders) return;
    machine.wants_orders = true;
    wanting_.push_back(&machine);
}

std::vector<Machine*> Ledger::take_wanting() { return std::exchange(wanting_, {}); }

void Ledger::leave_group(const Machine& machine) {
    const auto it = groups_.find(machine.group);
    if (it == groups_.end()) return;
    it->second.hosts.erase(machine.host);
    mark(kGroups + machine.group, Pace::cadence);
    if (it->second.hosts.empty()) groups_.erase(it);
}

void Ledger::drop_machine(Machine& machine) {
    while (!machine.tasks.empty()) remove(machine, machine.tasks.begin()->first);
    leave_group(machine);
    std::erase(wanting_, &machine);
    const auto host = machine.host;
    machines_.erase(host);
}

// ---- placements ----

void Ledger::attach(Machine& machine, Job& job, std::uint32_t index, Placement placement) {
    placement.job = &job;
    placement.machine = &machine;
    placement.index = index;
    const auto [it, added] = machine.tasks.emplace(PlacementKey{job.serial, index}, placement);
    if (!added) return;
    job.tasks[index].at = &it->second;
    ++job.placed;
    ++job.zones[machine.region];
    machine.used.add(job.need());
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
    mark_progress(job, index, Pace::urgent);
}

void Ledger::remove(Machine& machine, PlacementKey key) {
    const auto it = machine.tasks.find(key);
    if (it == machine.tasks.end()) return;
    set_running(it->second, false);
    auto& job = *it->second.job;
    const auto index = it->second.index;
    if (it->second.halting) machine.leaving.subtract(job.need());
    machine.used.subtract(job.need());
    machine.tasks.erase(it);
    // Sums of decimals must not leave a remainder that looks like use.
    if (machine.tasks.empty()) machine.used = machine.leaving = {};
    auto& task = job.tasks[index];
    task.at = nullptr;
    --job.placed;
    if (--job.zones[machine.region] == 0) job.zones.erase(machine.region);
    auto& use = use_[job.spec.owner];
    use.cpus -= job.spec.cores;
    use.gpus -= job.spec.accelerators;
    if (use.cpus < 1e-9) use.cpus = 0;
    if (use.gpus < 1e-9) use.gpus = 0;
    if (job.state == JobState::open && !task.done) job.waiting.push_back(index);
    machine.idle_since = port_.now();
    mark_progress(job, index, Pace::cadence);
}

void Ledger::set_halting(Placement& p) {
    if (p.halting) return;
    p.halting = true;
    p.machine->leaving.add(p.job->need());
}

void Ledger::set_running(Placement& p, bool running) {
    const bool was = p.running_since != Instant{};
    if (was == running) return;
    p.running_since = running ? port_.now() : Instant{};
    running ? ++p.job->running : --p.job->running;
}

// ---- rentals ----

void Ledger::add_claim(const wire::RentalRequest& request) {
    groups_[request.claim].request = request;
    open_claims_.insert(request.claim);
    mark(kGroups + request.claim, Pace::urgent);
}

void Ledger::claim_answered(const std::string& claim, const std::vector<HostName>& hosts) {
    const auto it = groups_.find(claim);
    if (it == groups_.end()) return;
    open_claims_.erase(claim);
    auto& group = it->second;
    group.answered = true;
    for (const auto& host : hosts) {
        auto* known = find_machine(host);
        // It may have been heard of before the claim's answer was.
        if (known) leave_group(*known);
        auto& machine = known ? *known : new_machine(host);
        describe(machine, group.request.shape, group.request.region, group.request.reclaimable);
        machine.group = claim;
        group.hosts.insert(host);
    }
    mark(kGroups + claim, Pace::cadence);
    if (group.hosts.empty()) groups_.erase(it);
}

bool Ledger::claim_committed(const std::string& claim) const {
    return stored_.contains(kGroups + claim);
}

// ---- committing ----

void Ledger::mark(const std::string& key, Pace pace) {
    ++version_;
    auto& d = dirty_[key];
    if (d.first == 0) {
        d = {version_, version_, pace, port_.now()};
        return;
    }
    d.last = version_;
    d.pace = std::min(d.pace, pace);
}

void Ledger::mark_progress(const Job& job, std::uint32_t index, Pace pace) {
    mark(record_of(job, index), pace);
}

std::string Ledger::record_of(const Job& job, std::uint32_t index) {
    return chunk_key(job.spec.id, index / kChunk);
}

bool Ledger::committed(const std::string& key, Version version) const {
    const auto it = dirty_.find(key);
    return it == dirty_.end() || it->second.first > version;
}

Ledger::Record Ledger::group_value(const Group& group) const {
    Writer w;
    w.map(group.answered ? 7 : 6).text("v").count(kFormat);
    w.text("claim").text(group.request.claim).text("shape").text(group.request.shape);
    w.text("region").text(group.request.region);
    w.text("reclaimable").boolean(group.request.reclaimable);
    w.text("how_many").count(group.request.how_many);
    if (group.answered) {
        w.text("hosts").list(group.hosts.size());
        for (const auto& host : group.hosts) w.text(host.get());
    }
    return {w.take(), w.json_size()};
}

Ledger::Record Ledger::progress_value(const Job& job, std::uint32_t chunk) const {
    const auto from = chunk * kChunk;
    const auto to = std::min(from + kChunk, static_cast<std::uint32_t>(job.tasks.size()));
    std::map<std::string_view, std::vector<const Placement*>> by_host;
    std::uint64_t base = std::numeric_limits<std::uint64_t>::max();
    for (auto i = from; i < to; ++i) {
        const auto* p = job.tasks[i].at;
        if (!p) continue;
        by_host[p->machine->host.get()].push_back(p);
        base = std::min(base, p->attempt.get());
    }
    if (by_host.empty()) base = 0;
    Writer w;
    w.map(6).text("v").count(kFormat).text("from").count(from);
    w.text("done").text(to_hex(from, to, [&](std::uint32_t i) { return job.tasks[i].done; }));
    w.text("shielded").text(to_hex(from, to, [&](std::uint32_t i) {
        return job.tasks[i].shielded;
    }));
    w.text("base").count(base).text("tasks").list(by_host.size());
    for (const auto& [host, placements] : by_host) {
        w.list(1 + 2 * placements.size()).text(host);
        for (const auto* p : placements) w.count(p->index - from).count(p->attempt.get() - base);
    }
    return {w.take(), w.json_size()};
}

// The job and chunk that a progress record is of; null once the job is forgotten.
std::pair<Job*, std::uint32_t> Ledger::chunk_of(const std::string& key) {
    const auto name = after(key, kProgress);
    const auto cut = name.rfind('/');
    return {find_job(JobId(name.substr(0, cut))),
            static_cast<std::uint32_t>(std::stoul(name.substr(cut + 1)))};
}

std::optional<Ledger::Record> Ledger::value_of(const std::string& key) {
    if (key.starts_with(kProgress)) {
        const auto [job, chunk] = chunk_of(key);
        if (job) return progress_value(*job, chunk);
    } else if (key.starts_with(kGroups)) {
        const auto it = groups_.find(after(key, kGroups));
        if (it != groups_.end()) return group_value(it->second);
    } else if (key.starts_with(kEnds)) {
        const auto* job = find_job(JobId(after(key, kEnds)));
        if (job) {
            Writer w;
            w.map(3).text("phase").text(wire::name_of(wire::JobPhase::done));
            w.text("shards").count(job->spec.shards);
            w.text("at").count(static_cast<std::uint64_t>(port_.wall_ms()));
            return Record{w.take(), w.json_size()};
        }
    }
    return std::nullopt;
}

// What is to be committed now: ends first, then what lets tasks start, then what is due; the
// oldest first in each.
std::vector<std::pair<std::string, Ledger::Dirty>> Ledger::due_keys() {
    const auto now = port_.now();
    std::vector<std::pair<std::string, Dirty>> due;
    Instant next = Instant::max();
    for (const auto& [key, d] : dirty_) {
        if (d.pace == Pace::cadence && now < d.since + kCadence) {
            next = std::min(next, d.since + kCadence);
        } else {
            due.emplace_back(key, d);
        }
    }
    if (next < Instant::max()) port_.wake_at(next);
    std::sort(due.begin(), due.end(), [](const auto& a, const auto& b) {
        return std::tie(a.second.pace, a.second.first) < std::tie(b.second.pace, b.second.first);
    });
    return due;
}

// False if there is no more room in the transaction.
bool Ledger::add_to(Commit& commit, std::set<std::string>& guarded, const std::string& key) {
    auto value = value_of(key);
    if (!value && !stored_.contains(key)) {
        dirty_.erase(key);
        return true;
    }
    if (value && value->json > static_cast<std::size_t>(config_.state_value_kb * 1024)) {
        // It stays as it was; what it adds is never acted on.
        port_.log(LogLevel::error, "event=record_too_large key={} bytes={}", key, value->json);
        return true;
    }
    const auto bytes = 3 * kGuardBytes + key.size() + (value ? value->json : 0);
    if (commit.bytes + bytes > kTxnBytes && !commit.writes.empty()) return false;
    // Placements may only be recorded for jobs without an end, and ends only once.
    std::string guard;
    if (key.starts_with(kEnds)) guard = key;
    if (key.starts_with(kProgress) && value) {
        const auto [job, chunk] = chunk_of(key);
        const auto to = std::min<std::size_t>((chunk + 1) * std::size_t{kChunk}, job->tasks.size());
        for (std::size_t i = chunk * std::size_t{kChunk}; i < to; ++i) {
            auto* p = job->tasks[i].at;
            if (!p || p->committed) continue;
            commit.placements.push_back(p);
            guard = kEnds + job->spec.id.get();
        }
    }
    if (!guard.empty() && guarded.insert(guard).second) commit.guards.push_back({guard, KeyRev()});
    if (key.starts_with(kProgress) || key.starts_with(kGroups)) {
        const auto known = stored_.find(key);
        commit.guards.push_back({key, known == stored_.end() ? KeyRev() : known->second});
    }
    commit.bytes += bytes;
    commit.keys.emplace_back(key, value.has_value());
    commit.writes.push_back(
        {key, value ? std::optional(std::move(value->packed)) : std::nullopt, std::nullopt});
    return true;
}

void Ledger::flush() {
    if (!loaded_ || in_commit_ || dirty_.empty() || !election_.is_leader()) return;
    const auto now = port_.now();
    if (now < next_commit_) {
        port_.wake_at(next_commit_);
        return;
    }
    const auto due = due_keys();
    if (due.empty()) return;
    const double budget = writes_.available(now);
    if (budget < 1) {
        next_commit_ = writes_.ready_at(1, now);
        port_.wake_at(next_commit_);
        return;
    }
    const auto most = std::min(config_.state_txn_ops, static_cast<std::size_t>(budget));
    Commit commit;
    commit.version = version_;
    commit.guards.push_back(election_.guard());
    std::set<std::string> guarded;
    for (const auto& [key, d] : due) {
        if (commit.writes.size() >= most || !add_to(commit, guarded, key)) break;
    }
    if (commit.writes.empty()) return;
    writes_.take(static_cast<double>(commit.writes.size()), now);
    changes_sent_ += commit.writes.size();
    for (auto* p : commit.placements) p->in_commit = true;
    commit.placements.clear();  // they may be gone when the answer comes
    in_commit_ = true;
    // With little budget left, fewer and fuller transactions: a record is then written once for
    // several changes to it.
    const bool is_short = budget < kWriteShare * config_.state_write_rps / 2;
    next_commit_ = now + (is_short ? kCommitEveryWhenShort : kCommitEvery);
    const auto guards = std::move(commit.guards);
    const auto writes = std::move(commit.writes);
    store_.multi(guards, writes, kCommitTimeout,
                 [this, commit = std::move(commit),
                  generation = generation_](const state::MultiResult& result) {
                     if (current(generation)) finish_commit(commit, result);
                 });
}

void Ledger::finish_commit(const Commit& commit, const state::MultiResult& result) {
    in_commit_ = false;
    if (result.outcome == Outcome::ok) {
        committed_keys(commit, result.rev);
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

void Ledger::committed_keys(const Commit& commit, KeyRev rev) {
    for (const auto& [key, set] : commit.keys) {
        auto it = dirty_.find(key);
        if (it != dirty_.end()) {
            if (it->second.last <= commit.version) {
                dirty_.erase(it);
                it = dirty_.end();
            } else {
                it->second.first = commit.version + 1;
                it->second.since = port_.now();
            }
        }
        if (key.starts_with(kEnds)) {
            end_committed(JobId(after(key, kEnds)));
            continue;
        }
        set ? (void)(stored_[key] = rev) : (void)stored_.erase(key);
        if (!key.starts_with(kProgress)) continue;
        const auto [job, chunk] = chunk_of(key);
        if (!job) continue;
        bool more_to_start = false;
        const auto to = std::min<std::size_t>((chunk + 1) * std::size_t{kChunk}, job->tasks.size());
        for (std::size_t i = chunk * std::size_t{kChunk}; i < to; ++i) {
            auto* p = job->tasks[i].at;
            if (!p || p->committed) continue;
            if (!p->in_commit) {
                more_to_start = true;
                continue;
            }
            p->in_commit = false;
            p->committed = true;
            want_orders(*p->machine);
        }
        if (it != dirty_.end() && !more_to_start) it->second.pace = Pace::cadence;
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
