#include "state/cluster_state_writer.hpp"

#include <algorithm>
#include <utility>

#include "kv/keys.hpp"
#include "state/task_ranges.hpp"

namespace dunebridge::state {

using kv::kProgressPrefix;
using kv::kTerminalPrefix;
using kv::TransactionOutcome;
using kv::without_prefix;

namespace {
constexpr Millis kSendInterval{30};
// Used while little of the write budget is left. Transactions are fewer and larger then, so that
// several changes to a record cost one write.
constexpr Millis kSendIntervalOnLowBudget{200};
constexpr Millis kRetryBackoff{120};
constexpr Millis kTooLargeBackoff{5000};
// Share of the key-value store's write rate. The rest is for submissions and cancellations, which
// every node writes.
constexpr double kWriteBudgetShare = 0.6;
}  // namespace

ClusterStateWriter::ClusterStateWriter(sansio::Context& context, kv::KvClient& kv_client,
                                       coordination::Election& election,
                                       ClusterState& cluster_state, const config::Config& config)
    : context_(context),
      election_(election),
      state_(cluster_state),
      config_(config),
      write_budget_(kWriteBudgetShare * config.kv_limits.write_rps()),
      retried_transaction_(context, kv_client, write_budget_) {}

void ClusterStateWriter::reset() {
    retried_transaction_.abandon();
    pending_splits_.clear();
}

// ---- sending ----

bool ClusterStateWriter::may_send() const {
    return state_.loaded() && !state_.committing() && !state_.dirty().empty() &&
           election_.is_leader();
}

void ClusterStateWriter::flush() {
    if (!may_send()) return;
    const auto now = context_.now();
    if (now < next_send_at_) {
        context_.request_wake(next_send_at_);
        return;
    }
    const auto due_keys = state_.dirty().due_keys();
    if (due_keys.empty()) return;
    if (write_budget_.available(now) < 1) {
        next_send_at_ = write_budget_.ready_at(1, now);
        context_.request_wake(next_send_at_);
        return;
    }
    build_and_send(due_keys);
}

TransactionLimits ClusterStateWriter::transaction_limits() {
    const auto budget = static_cast<std::size_t>(write_budget_.available(context_.now()));
    return {std::min(config_.kv_limits.txn_ops(), budget), config_.kv_limits, value_limit_reduced_};
}

void ClusterStateWriter::build_and_send(const std::vector<std::string>& due_keys) {
    TransactionBuilder builder(context_, state_, pending_splits_, transaction_limits(),
                               election_.fencing_precondition());
    for (const auto& key : due_keys) {
        if (builder.add(key) == TransactionBuilder::AddResult::transaction_full) break;
    }
    if (builder.empty()) {
        schedule_next_send(builder);
    } else {
        send(builder.take());
    }
}

// Called if the builder added no write. If the parts of a split record, which go into one
// transaction, need more budget than is available, asks to be woken once there is enough; if a
// record was split just now, asks to be woken to send its parts.
void ClusterStateWriter::schedule_next_send(const TransactionBuilder& builder) {
    const auto now = context_.now();
    const auto writes = builder.writes_needed();
    if (writes > 0) next_send_at_ = write_budget_.ready_at(static_cast<double>(writes), now);
    if (writes > 0 || builder.did_split_record()) {
        context_.request_wake(std::max(next_send_at_, now));
    }
}

void ClusterStateWriter::send(StateTransaction transaction) {
    const auto now = context_.now();
    const double full_budget = kWriteBudgetShare * config_.kv_limits.write_rps();
    const bool is_budget_low = write_budget_.available(now) < full_budget / 2;
    next_send_at_ = now + (is_budget_low ? kSendIntervalOnLowBudget : kSendInterval);
    write_budget_.take(static_cast<double>(transaction.writes.size()), now);
    state_.set_committing(true);
    auto preconditions = std::move(transaction.preconditions);
    auto writes = std::move(transaction.writes);
    const auto on_outcome = [this, transaction = std::move(transaction),
                             generation =
                                 state_.generation()](const kv::TransactionResult& result) {
        if (state_.is_current(generation)) handle_outcome(transaction, result);
    };
    retried_transaction_.send(std::move(preconditions), std::move(writes), on_outcome);
}

// ---- outcomes ----

void ClusterStateWriter::handle_outcome(const StateTransaction& transaction,
                                        const kv::TransactionResult& result) {
    state_.set_committing(false);
    if (result.outcome == TransactionOutcome::ok) {
        handle_committed(transaction, result.rev);
    } else if (result.outcome == TransactionOutcome::unknown) {
        // The transaction may still be applied at any later time. A new term changes the revision
        // of the leader key, after which the transaction can no longer be applied.
        context_.log(sansio::LogLevel::info, "event=transaction_outcome_unknown term={}",
                     election_.term().get());
        election_.require_new_term();
    } else {
        handle_not_committed(transaction, result);
    }
}

void ClusterStateWriter::handle_not_committed(const StateTransaction& transaction,
                                              const kv::TransactionResult& result) {
    for (auto& [host, machine] : state_.machines()) {
        for (auto& [key, placement] : machine.placements) {
            if (placement.commit == CommitState::in_transaction) {
                placement.commit = CommitState::uncommitted;
            }
        }
    }
    if (result.outcome == TransactionOutcome::conflict) {
        handle_conflict(result);
    } else if (result.outcome == TransactionOutcome::malformed) {
        handle_too_large(transaction);
    } else {
        next_send_at_ = context_.now() + kRetryBackoff + context_.jitter(kRetryBackoff);
    }
}

// The key-value store has lowered its limits. Later transactions respect the lower limits; if one
// of these transactions is rejected as well, the next is sent only after a longer backoff.
void ClusterStateWriter::handle_too_large(const StateTransaction& transaction) {
    context_.log(sansio::LogLevel::error, "event=transaction_too_large writes={} bytes={}",
                 transaction.changes.size(), transaction.bytes);
    const auto backoff = value_limit_reduced_ ? kTooLargeBackoff : kRetryBackoff;
    value_limit_reduced_ = true;
    next_send_at_ = context_.now() + backoff;
}

void ClusterStateWriter::handle_committed(const StateTransaction& transaction,
                                          KeyRevision revision) {
    for (const auto& key : transaction.split_records) pending_splits_.mark_committed(key);
    for (const auto& [key, removed] : transaction.changes) {
        state_.dirty().mark_committed(key, transaction.state_version);
        if (key.starts_with(kTerminalPrefix)) {
            handle_committed_terminal_record(JobId(without_prefix(key, kTerminalPrefix)));
            continue;
        }
        if (removed) {
            state_.stored().erase(key);
        } else {
            state_.stored().set(key, revision);
        }
        if (key.starts_with(kProgressPrefix)) handle_committed_progress_record(key);
    }
}

// The placements in the committed record may be acted on. If others were made after the record was
// encoded, it has to be written again at once; otherwise none of its remaining changes lets
// anything start, and they can wait for the delay of batched changes.
void ClusterStateWriter::handle_committed_progress_record(const std::string& key) {
    const auto tasks = find_task_range(state_.jobs(), key);
    if (!tasks) return;
    bool has_uncommitted = false;
    for_each_placement(tasks, [this, &has_uncommitted](Placement& placement) {
        if (placement.is_committed()) return;
        if (placement.commit != CommitState::in_transaction) {
            has_uncommitted = true;
            return;
        }
        placement.commit = CommitState::committed;
        state_.request_commands(*placement.machine);
    });
    if (!has_uncommitted) state_.dirty().lower_to_batched(key);
}

void ClusterStateWriter::handle_committed_terminal_record(const JobId& id) {
    Job* job = state_.find_job(id);
    if (!job) return;
    job->state = JobState::terminal;
    job->terminal_since = context_.now();
    const auto phase = terminal_phase(*job);
    if (phase == wire::JobPhase::done) {
        context_.log(sansio::LogLevel::info, "event=job_done id={} term={}", id.get(),
                     election_.term().get());
    }
    state_.handle_job_end(id, phase);
}

void ClusterStateWriter::handle_conflict(const kv::TransactionResult& result) {
    if (apply_cancellations(result.conflicting_keys)) return;
    context_.log(sansio::LogLevel::info, "event=transaction_conflict term={} key={} of={}",
                 election_.term().get(),
                 result.conflicting_keys.empty() ? "" : result.conflicting_keys.front(),
                 result.conflicting_keys.size());
    // The leader key may have changed. The campaign for a new term requires the old revision of
    // the key, so it fails if another node leads.
    election_.require_new_term();
}

// A terminal record that exists already is a user's cancellation that was committed first. Applies
// the cancellations among the keys whose preconditions failed, and returns whether there were any.
bool ClusterStateWriter::apply_cancellations(const std::vector<std::string>& failed_keys) {
    bool found = false;
    for (const auto& key : failed_keys) {
        if (!key.starts_with(kTerminalPrefix)) continue;
        found = true;
        const JobId id(without_prefix(key, kTerminalPrefix));
        state_.mark_terminal(id, context_.wall_ms());
        state_.dependencies().read_terminal_record(id);
    }
    return found;
}

}  // namespace dunebridge::state
