// The ledger's records, and the transactions that commit them.
#include <algorithm>
#include <limits>
#include <tuple>

#include "core/ledger_records.hpp"

namespace dunebridge::core {

using state::Outcome;
using wire::Writer;

namespace {
constexpr Millis kCommitEvery{30};
constexpr Millis kCommitEveryWhenShort{200};
constexpr Millis kCommitRetry{120};
// What is proved done or gone is on the workers' lists until it is on record.
constexpr Millis kCadence{1500};
constexpr std::size_t kTxnBytes = 60 * 1024;  // of the protocol's 64 KiB
constexpr std::size_t kGuardBytes = 64;       // a guard's part of a transaction, at most
}  // namespace

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
