#include "state/cluster_state_writer.hpp"

#include <algorithm>
#include <utility>

#include "kv/keys.hpp"

namespace dunebridge::state {

using kv::kEnds;
using kv::kProgress;
using kv::Outcome;
using kv::without_prefix;

namespace {
constexpr Millis kCommitEvery{30};
// With little budget left, fewer and fuller transactions: a record is then written once for
// several changes to it.
constexpr Millis kCommitEveryWhenShort{200};
constexpr Millis kCommitRetry{120};
constexpr Millis kRefusedRetry{5000};
// The rest of the write budget is for submissions and cancellations at any node.
constexpr double kWriteShare = 0.6;
}  // namespace

LedgerCommitter::LedgerCommitter(sansio::Port& port, kv::Store& store,
                                 coordination::Election& election, Ledger& ledger,
                                 const config::Config& config)
    : port_(port),
      election_(election),
      ledger_(ledger),
      config_(config),
      writes_(kWriteShare * config.state.write_rps()),
      transaction_(port, store, writes_) {}

void LedgerCommitter::reset() {
    transaction_.abandon();
    replacements_.clear();
}

void LedgerCommitter::flush() {
    if (!ledger_.loaded() || ledger_.committing() || ledger_.dirty().empty()) return;
    if (!election_.is_leader()) return;
    const auto now = port_.now();
    if (now < next_commit_) {
        port_.wake_at(next_commit_);
        return;
    }
    const auto due = ledger_.dirty().due();
    if (due.empty()) return;
    const double budget = writes_.available(now);
    if (budget < 1) {
        next_commit_ = writes_.ready_at(1, now);
        port_.wake_at(next_commit_);
        return;
    }
    const auto most_writes = std::min(config_.state.txn_ops(), static_cast<std::size_t>(budget));
    CommitBuilder builder(port_, ledger_, replacements_,
                          {most_writes, config_.state, limits_lowered_}, election_.precondition());
    for (const auto& key : due) {
        if (!builder.add(key)) break;
    }
    if (!builder.empty()) {
        send(builder.take(), budget);
        return;
    }
    const auto needed = builder.writes_needed();
    if (needed > 0) next_commit_ = writes_.ready_at(static_cast<double>(needed), now);
    if (builder.split_any() || needed > 0) port_.wake_at(std::max(next_commit_, now));
}

void LedgerCommitter::send(Commit commit, double budget) {
    const auto now = port_.now();
    writes_.take(static_cast<double>(commit.writes.size()), now);
    ledger_.set_committing(true);
    const bool is_short = budget < kWriteShare * config_.state.write_rps() / 2;
    next_commit_ = now + (is_short ? kCommitEveryWhenShort : kCommitEvery);
    auto preconditions = std::move(commit.preconditions);
    auto writes = std::move(commit.writes);
    transaction_.send(std::move(preconditions), std::move(writes),
                      [this, commit = std::move(commit),
                       generation = ledger_.generation()](const kv::TransactionResult& result) {
                          if (ledger_.current(generation)) finish(commit, result);
                      });
}

void LedgerCommitter::finish(const Commit& commit, const kv::TransactionResult& result) {
    ledger_.set_committing(false);
    if (result.outcome == Outcome::ok) {
        applied(commit, result.rev);
        return;
    }
    if (result.outcome == Outcome::unknown) {
        // It may be applied at any later time. A new term over the own key fences it off.
        port_.log(sansio::LogLevel::info, "event=commit_lost term={}", election_.term().get());
        election_.renew_term();
        return;
    }
    for (auto& [host, machine] : ledger_.machines()) {
        for (auto& [key, placement] : machine.tasks) placement.in_commit = false;
    }
    if (result.outcome == Outcome::conflict) {
        conflict(result);
    } else if (result.outcome == Outcome::malformed) {
        refused_as_too_large(commit);
    } else {
        next_commit_ = port_.now() + kCommitRetry + port_.jitter(kCommitRetry);
    }
}

// Larger than the service takes now. What is sent from here on fits the smaller limits; were it
// refused all the same, it is not repeated at once.
void LedgerCommitter::refused_as_too_large(const Commit& commit) {
    const bool first = !limits_lowered_;
    limits_lowered_ = true;
    port_.log(sansio::LogLevel::error, "event=commit_refused writes={} bytes={}",
              commit.keys.size(), commit.bytes);
    next_commit_ = port_.now() + (first ? kCommitRetry : kRefusedRetry);
}

void LedgerCommitter::applied(const Commit& commit, KeyRev revision) {
    for (const auto& original : commit.originals) replacements_.committed(original);
    for (const auto& [key, set] : commit.keys) {
        ledger_.dirty().committed(key, commit.version);
        if (key.starts_with(kEnds)) {
            end_committed(JobId(without_prefix(key, kEnds)));
            continue;
        }
        if (set) {
            ledger_.stored().set(key, revision);
        } else {
            ledger_.stored().erase(key);
        }
        if (key.starts_with(kProgress)) progress_committed(key);
    }
}

// Its placements that were in the transaction may be acted on.
void LedgerCommitter::progress_committed(const std::string& key) {
    const auto [job, range] = find_recorded_range(ledger_, key);
    if (!range) return;
    bool more_to_start = false;
    for (auto i = range->from; i < range->from + range->size; ++i) {
        auto* placement = job->tasks[i].at;
        if (!placement || placement->committed) continue;
        if (!placement->in_commit) {
            more_to_start = true;
            continue;
        }
        placement->in_commit = false;
        placement->committed = true;
        ledger_.request_commands(*placement->machine);
    }
    if (!more_to_start) ledger_.dirty().lower_to_cadence(key);
}

void LedgerCommitter::end_committed(const JobId& id) {
    Job* job = ledger_.find_job(id);
    if (!job) return;
    job->state = JobState::ended;
    job->ended_at = port_.now();
    const auto how = end_of(*job);
    if (how == wire::JobPhase::done) {
        port_.log(sansio::LogLevel::info, "event=job_done id={} term={}", id.get(),
                  election_.term().get());
    }
    ledger_.ended(id, how);
}

void LedgerCommitter::conflict(const kv::TransactionResult& result) {
    bool explained = false;
    for (const auto& key : result.failed) {
        if (!key.starts_with(kEnds)) continue;
        // The user's cancellation came first.
        explained = true;
        const JobId id(without_prefix(key, kEnds));
        ledger_.mark_cancelled(id, port_.wall_ms());
        ledger_.dependencies().read_end(id);
    }
    if (explained) return;
    port_.log(sansio::LogLevel::info, "event=commit_conflict term={} key={} of={}",
              election_.term().get(), result.failed.empty() ? "" : result.failed.front(),
              result.failed.size());
    // The leader key has changed. Standing again over the old revision fails if another leads.
    election_.renew_term();
}

}  // namespace dunebridge::state
