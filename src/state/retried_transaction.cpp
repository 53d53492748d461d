#include "state/retried_transaction.hpp"

#include <algorithm>
#include <utility>

#include "kv/keys.hpp"
#include "kv/records.hpp"

namespace dunebridge::state {

using kv::TransactionOutcome;
using kv::TransactionResult;

namespace {
// Most responses come within milliseconds. A retry that is sent too early costs a few writes of the
// budget; one that is sent late delays the start of every task.
constexpr Millis kFirstTimeout{1200};
constexpr Millis kTimeout{2500};
constexpr Millis kRetryBackoff{120};
// If none of this many attempts determines the outcome, the outcome is left unknown. The limit is
// meant for a key-value store that is in effect down, but every attempt counts, including one that
// was refused after another had no conclusive response. The limit does not bound the time, because
// retries wait for the write budget.
constexpr int kMaxAttempts = 40;

bool is_terminal_record(const wire::Write& write) {
    return write.key.starts_with(kv::kTerminalPrefix);
}

// Returns whether the write creates a terminal record and the store holds a different one: a user's
// cancellation was committed first.
bool is_preceded_by_cancellation(const wire::Write& write, const kv::GetResult& result) {
    if (!is_terminal_record(write) || !write.value || !result.entry) return false;
    const auto own = wire::Document::parse(*write.value);
    return !own || kv::decode_terminal_record(own->root()) !=
                       kv::decode_terminal_record(result.entry->value);
}

// How reliably a record that is read back shows whether the transaction was applied, in ascending
// order.
enum class Evidence : std::uint8_t {
    none,
    terminal_record,  // any node may have written it, for a cancellation
    removed_record,   // only the leader writes it, but an absent record has no revision
    written_record    // its revision is that of the transaction
};

Evidence evidence_of(const wire::Write& write) {
    if (is_terminal_record(write)) return Evidence::terminal_record;
    return write.value ? Evidence::written_record : Evidence::removed_record;
}
}  // namespace

RetriedTransaction::RetriedTransaction(sansio::Context& context, kv::KvClient& kv_client,
                                       TokenBucket& write_budget)
    : context_(context), kv_client_(kv_client), write_budget_(write_budget) {}

void RetriedTransaction::send(std::vector<wire::Precondition> preconditions,
                              std::vector<wire::Write> writes, OutcomeCallback on_outcome) {
    ++sequence_;
    preconditions_ = std::move(preconditions);
    writes_ = std::move(writes);
    on_outcome_ = std::move(on_outcome);
    attempts_ = 0;
    has_unanswered_attempt_ = false;
    send_attempt();
}

void RetriedTransaction::abandon() {
    ++sequence_;
    on_outcome_ = nullptr;
}

void RetriedTransaction::send_attempt() {
    const auto timeout = attempts_ == 0 ? kFirstTimeout : kTimeout;
    ++attempts_;
    kv_client_.compare_and_swap(preconditions_, writes_, timeout,
                                unless_superseded<TransactionResult>(
                                    [this](const auto& result) { handle_response(result); }));
}

void RetriedTransaction::retry_after_backoff() {
    context_.after(
        kRetryBackoff + context_.jitter(kRetryBackoff), unless_superseded([this] {
            if (write_budget_.take(static_cast<double>(writes_.size()), context_.now())) {
                send_attempt();
            } else {
                retry_after_backoff();
            }
        }));
}

void RetriedTransaction::retry_or_give_up() {
    if (attempts_ < kMaxAttempts) {
        retry_after_backoff();
    } else {
        finish_with_unknown_outcome();
    }
}

void RetriedTransaction::handle_response(const TransactionResult& result) {
    if (result.outcome == TransactionOutcome::unknown) {
        has_unanswered_attempt_ = true;
        context_.log(sansio::LogLevel::info, "event=transaction_retried attempts={}", attempts_);
        retry_or_give_up();
    } else if (!has_unanswered_attempt_ || result.outcome == TransactionOutcome::ok) {
        finish(result);
    } else if (result.outcome == TransactionOutcome::refused) {
        // This attempt was not executed, but an earlier one may still be executed.
        retry_or_give_up();
    } else if (result.outcome == TransactionOutcome::conflict) {
        resolve_conflict(result);
    } else {
        // The transaction cannot be sent again unchanged, and an attempt without a response may
        // have been applied or may still be applied: only a new term rules out the latter.
        finish_with_unknown_outcome();
    }
}

const wire::Precondition* RetriedTransaction::precondition_for(const wire::Write& write) const {
    const auto it =
        std::find_if(preconditions_.begin(), preconditions_.end(),
                     [&](const auto& precondition) { return precondition.key == write.key; });
    return it == preconditions_.end() ? nullptr : &*it;
}

// Returns the write whose record shows most reliably whether the transaction was applied; null if
// none does.
const wire::Write* RetriedTransaction::write_to_read_back() const {
    const wire::Write* best = nullptr;
    auto best_evidence = Evidence::none;
    for (const auto& write : writes_) {
        if (!precondition_for(write)) continue;
        const auto evidence = evidence_of(write);
        if (evidence <= best_evidence) continue;
        best = &write;
        best_evidence = evidence;
    }
    return best;
}

void RetriedTransaction::resolve_conflict(const TransactionResult& conflict) {
    const auto& failed = conflict.conflicting_keys;
    const auto& leader_key = preconditions_.front().key;
    const bool deposed = std::find(failed.begin(), failed.end(), leader_key) != failed.end();
    const auto* write = write_to_read_back();
    if (deposed || !write) {
        finish_with_unknown_outcome();
    } else {
        resolve_by_reading_back(*write, conflict);
    }
}

// Some precondition has failed and can never hold again, because revisions only grow and terminal
// records are never removed. Therefore an attempt that has not been applied by now will never be
// applied.
void RetriedTransaction::resolve_by_reading_back(const wire::Write& write,
                                                 const TransactionResult& conflict) {
    const auto resolve = [this, &write, conflict](const kv::GetResult& result) {
        if (!result.available) {
            context_.after(kRetryBackoff, unless_superseded([this, &write, conflict] {
                               resolve_by_reading_back(write, conflict);
                           }));
            return;
        }
        const auto& precondition = *precondition_for(write);
        const auto revision = result.entry ? result.entry->rev : KeyRevision();
        if (revision == precondition.rev || is_preceded_by_cancellation(write, result)) {
            finish(conflict);
        } else {
            confirm_applied(precondition, revision);
        }
    };
    kv_client_.get(write.key, kTimeout, unless_superseded<kv::GetResult>(resolve));
}

// The record has changed. If this node still leads in the term in which the transaction was sent,
// the change was made by this transaction.
void RetriedTransaction::confirm_applied(const wire::Precondition& precondition,
                                         KeyRevision current_revision) {
    const auto handle = [this, precondition, current_revision](const TransactionResult& result) {
        if (result.outcome == TransactionOutcome::ok) {
            finish({TransactionOutcome::ok, current_revision, {}});
        } else if (result.outcome == TransactionOutcome::conflict) {
            finish_with_unknown_outcome();
        } else {
            context_.after(kRetryBackoff, unless_superseded([this, precondition, current_revision] {
                               confirm_applied(precondition, current_revision);
                           }));
        }
    };
    kv_client_.compare_and_swap({preconditions_.front(), {precondition.key, current_revision}}, {},
                                kTimeout, unless_superseded<TransactionResult>(handle));
}

void RetriedTransaction::finish(const TransactionResult& result) {
    const auto on_outcome = std::move(on_outcome_);
    abandon();
    if (on_outcome) on_outcome(result);
}

void RetriedTransaction::finish_with_unknown_outcome() {
    TransactionResult unknown;
    unknown.outcome = TransactionOutcome::unknown;
    finish(unknown);
}

}  // namespace dunebridge::state
