#include "state/cluster_state_writer.hpp"

#include <algorithm>
#include <utility>

#include "kv/keys.hpp"

namespace dunebridge::state {

using kv::kProgressPrefix;
using kv::kTerminalPrefix;
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

ClusterStateWriter::ClusterStateWriter(sansio::Context& port, kv::KvClient& store,
                                       coordination::Election& election,
                                       ClusterState& cluster_state, const config::Config& config)
    : context_(port),
      election_(election),
      state_(cluster_state),
      config_(config),
      writes_(kWriteShare * config.kv_limits.write_rps()),
      transaction_(port, store, writes_) {}

void ClusterStateWriter::reset() {
    transaction_.abandon();
    replacements_.clear();
}

void ClusterStateWriter::flush() {
    if (!state_.loaded() || state_.committing() || state_.dirty().empty()) return;
    if (!election_.is_leader()) return;
    const auto now = context_.now();
    if (now < next_commit_) {
        context_.request_wake(next_commit_);
        return;
    }
    const auto due = state_.dirty().due();
    if (due.empty()) return;
    const double budget = writes_.available(now);
    if (budget < 1) {
        next_commit_ = writes_.ready_at(1, now);
        context_.request_wake(next_commit_);
        return;
    }
    const auto most_writes =
        std::min(config_.kv_limits.txn_ops(), static_cast<std::size_t>(budget));
    TransactionBuilder builder(context_, state_, replacements_,
                               {most_writes, config_.kv_limits, limits_lowered_},
                               election_.precondition());
    for (const auto& key : due) {
        if (!builder.add(key)) break;
    }
    if (!builder.empty()) {
        send(builder.take(), budget);
        return;
    }
    const auto needed = builder.writes_needed();
    if (needed > 0) next_commit_ = writes_.ready_at(static_cast<double>(needed), now);
    if (builder.split_any() || needed > 0) context_.request_wake(std::max(next_commit_, now));
}

void ClusterStateWriter::send(StateTransaction commit, double budget) {
    const auto now = context_.now();
    writes_.take(static_cast<double>(commit.writes.size()), now);
    state_.set_committing(true);
    const bool is_short = budget < kWriteShare * config_.kv_limits.write_rps() / 2;
    next_commit_ = now + (is_short ? kCommitEveryWhenShort : kCommitEvery);
    auto preconditions = std::move(commit.preconditions);
    auto writes = std::move(commit.writes);
    transaction_.send(std::move(preconditions), std::move(writes),
                      [this, commit = std::move(commit),
                       generation = state_.generation()](const kv::TransactionResult& result) {
                          if (state_.current(generation)) finish(commit, result);
                      });
}

void ClusterStateWriter::finish(const StateTransaction& commit,
                                const kv::TransactionResult& result) {
    state_.set_committing(false);
    if (result.outcome == Outcome::ok) {
        applied(commit, result.rev);
        return;
    }
    if (result.outcome == Outcome::unknown) {
        // It may be applied at any later time. A new term over the own key fences it off.
        context_.log(sansio::LogLevel::info, "event=transaction_outcome_unknown term={}",
                     election_.term().get());
        election_.renew_term();
        return;
    }
    for (auto& [host, machine] : state_.machines()) {
        for (auto& [key, placement] : machine.tasks) placement.in_commit = false;
    }
    if (result.outcome == Outcome::conflict) {
        conflict(result);
    } else if (result.outcome == Outcome::malformed) {
        refused_as_too_large(commit);
    } else {
        next_commit_ = context_.now() + kCommitRetry + context_.jitter(kCommitRetry);
    }
}

// Larger than the service takes now. What is sent from here on fits the smaller limits; were it
// refused all the same, it is not repeated at once.
void ClusterStateWriter::refused_as_too_large(const StateTransaction& commit) {
    const bool first = !limits_lowered_;
    limits_lowered_ = true;
    context_.log(sansio::LogLevel::error, "event=transaction_too_large writes={} bytes={}",
                 commit.keys.size(), commit.bytes);
    next_commit_ = context_.now() + (first ? kCommitRetry : kRefusedRetry);
}

void ClusterStateWriter::applied(const StateTransaction& commit, KeyRevision revision) {
    for (const auto& original : commit.originals) replacements_.committed(original);
    for (const auto& [key, set] : commit.keys) {
        state_.dirty().committed(key, commit.version);
        if (key.starts_with(kTerminalPrefix)) {
            end_committed(JobId(without_prefix(key, kTerminalPrefix)));
            continue;
        }
        if (set) {
            state_.stored().set(key, revision);
        } else {
            state_.stored().erase(key);
        }
        if (key.starts_with(kProgressPrefix)) progress_committed(key);
    }
}

// Its placements that were in the transaction may be acted on.
void ClusterStateWriter::progress_committed(const std::string& key) {
    const auto [job, range] = find_recorded_range(state_, key);
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
        state_.request_commands(*placement->machine);
    }
    if (!more_to_start) state_.dirty().lower_to_cadence(key);
}

void ClusterStateWriter::end_committed(const JobId& id) {
    Job* job = state_.find_job(id);
    if (!job) return;
    job->state = JobState::terminal;
    job->terminal_since = context_.now();
    const auto how = end_of(*job);
    if (how == wire::JobPhase::done) {
        context_.log(sansio::LogLevel::info, "event=job_done id={} term={}", id.get(),
                     election_.term().get());
    }
    state_.ended(id, how);
}

void ClusterStateWriter::conflict(const kv::TransactionResult& result) {
    bool explained = false;
    for (const auto& key : result.failed) {
        if (!key.starts_with(kTerminalPrefix)) continue;
        // The user's cancellation came first.
        explained = true;
        const JobId id(without_prefix(key, kTerminalPrefix));
        state_.mark_cancelled(id, context_.wall_ms());
        state_.dependencies().read_end(id);
    }
    if (explained) return;
    context_.log(sansio::LogLevel::info, "event=transaction_conflict term={} key={} of={}",
                 election_.term().get(), result.failed.empty() ? "" : result.failed.front(),
                 result.failed.size());
    // The leader key has changed. Standing again over the old revision fails if another leads.
    election_.renew_term();
}

}  // namespace dunebridge::state
