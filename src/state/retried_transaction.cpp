#include "state/retried_transaction.hpp"

#include <algorithm>

#include "kv/keys.hpp"
#include "kv/records.hpp"

namespace dunebridge::state {

using kv::Outcome;
using kv::TransactionResult;

namespace {
// Most answers come within milliseconds. A copy sent too early costs a few changes of the budget;
// one sent late holds up every start.
constexpr Millis kFirstTimeout{1200};
constexpr Millis kTimeout{2500};
constexpr Millis kRetryAfter{120};
// A term's worth of copies: a service that answers none of them is as good as out.
constexpr int kMaxCopies = 40;
}  // namespace

RetriedTransaction::RetriedTransaction(sansio::Context& port, kv::KvClient& store,
                                       TokenBucket& budget)
    : context_(port), kv_client_(store), budget_(budget) {}

void RetriedTransaction::send(std::vector<wire::Precondition> preconditions,
                              std::vector<wire::Write> writes, Done done) {
    ++sequence_;
    preconditions_ = std::move(preconditions);
    writes_ = std::move(writes);
    done_ = std::move(done);
    copies_ = 0;
    some_lost_ = false;
    send_copy();
}

void RetriedTransaction::abandon() {
    ++sequence_;
    done_ = nullptr;
}

void RetriedTransaction::send_copy() {
    const auto timeout = copies_++ == 0 ? kFirstTimeout : kTimeout;
    kv_client_.transact(
        preconditions_, writes_, timeout,
        while_current<TransactionResult>([this](const auto& result) { answered(result); }));
}

void RetriedTransaction::after(Millis pause, std::function<void()> then) {
    context_.after(pause, [this, then = std::move(then), sequence = sequence_] {
        if (sequence == sequence_) then();
    });
}

void RetriedTransaction::send_again() {
    after(kRetryAfter + context_.jitter(kRetryAfter), [this] {
        const auto changes = static_cast<double>(writes_.size());
        budget_.take(changes, context_.now()) ? send_copy() : send_again();
    });
}

void RetriedTransaction::answered(const TransactionResult& result) {
    if (result.outcome == Outcome::unknown) {
        some_lost_ = true;
        context_.log(sansio::LogLevel::info, "event=transaction_retried copies={}", copies_);
        copies_ < kMaxCopies ? send_again() : finish(result);
        return;
    }
    if (!some_lost_ || result.outcome == Outcome::ok) {
        finish(result);
    } else if (result.outcome == Outcome::refused) {
        // This copy was not executed; an earlier one may yet be.
        copies_ < kMaxCopies ? send_again() : finish({});
    } else if (result.outcome == Outcome::conflict) {
        settle(result);
    } else {
        // It cannot be sent again as it is, and may have been applied before: only a new term
        // keeps a lost copy out.
        finish({});
    }
}

const wire::Precondition* RetriedTransaction::precondition_of(const wire::Write& write) const {
    const auto it =
        std::find_if(preconditions_.begin(), preconditions_.end(),
                     [&](const auto& precondition) { return precondition.key == write.key; });
    return it == preconditions_.end() ? nullptr : &*it;
}

// The write whose record shows whether the transaction was applied. Nobody but the
// leader writes records other than ends; what was set is preferred, as its revision is that of the
// whole transaction.
std::optional<std::size_t> RetriedTransaction::telling_write() const {
    std::optional<std::size_t> best;
    int best_rank = 0;
    for (std::size_t i = 0; i < writes_.size(); ++i) {
        if (!precondition_of(writes_[i])) continue;
        const bool end = writes_[i].key.starts_with(kv::kTerminalPrefix);
        const int rank = end ? 1 : writes_[i].value ? 3 : 2;
        if (rank <= best_rank) continue;
        best = i;
        best_rank = rank;
    }
    return best;
}

void RetriedTransaction::settle(const TransactionResult& conflict) {
    const auto& failed = conflict.failed;
    const bool deposed =
        std::find(failed.begin(), failed.end(), preconditions_.front().key) != failed.end();
    const auto write = telling_write();
    deposed || !write ? finish({}) : settle_by(*write, conflict);
}

// Some precondition has failed for good: revisions only grow and ends stay. So a copy that has not
// been applied by now never will be.
void RetriedTransaction::settle_by(std::size_t write, const TransactionResult& conflict) {
    const auto then = [this, write, conflict](const kv::GetResult& result) {
        if (!result.answered) {
            after(kRetryAfter, [this, write, conflict] { settle_by(write, conflict); });
            return;
        }
        const auto& precondition = *precondition_of(writes_[write]);
        const auto now = result.row ? result.row->rev : KeyRevision();
        now == precondition.rev || written_by_a_user(writes_[write], result)
            ? finish(conflict)
            : confirm_applied(precondition, now);
    };
    kv_client_.get(writes_[write].key, kTimeout, while_current<kv::GetResult>(then));
}

// An end that is not the one this transaction sets: a user's cancellation came first.
bool RetriedTransaction::written_by_a_user(const wire::Write& write, const kv::GetResult& result) {
    if (!write.key.starts_with(kv::kTerminalPrefix) || !write.value || !result.row) return false;
    const auto own = wire::Document::parse(*write.value);
    return !own ||
           kv::decode_terminal_record(own->root()) != kv::decode_terminal_record(result.row->value);
}

// The record has changed. It was this transaction that changed it if this node still leads in the
// term that sent it.
void RetriedTransaction::confirm_applied(const wire::Precondition& precondition, KeyRevision now) {
    kv_client_.transact(
        {preconditions_.front(), {precondition.key, now}}, {}, kTimeout,
        while_current<TransactionResult>([this, precondition, now](const auto& result) {
            if (result.outcome == Outcome::ok) {
                finish({Outcome::ok, now, {}});
            } else if (result.outcome == Outcome::conflict) {
                finish({});
            } else {
                after(kRetryAfter,
                      [this, precondition, now] { confirm_applied(precondition, now); });
            }
        }));
}

void RetriedTransaction::finish(const TransactionResult& result) {
    const auto done = std::move(done_);
    abandon();
    if (done) done(result);
}

}  // namespace dunebridge::state
