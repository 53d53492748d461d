/// \file
/// Sends one compare-and-swap transaction at a time, and repeats it until its outcome is known.
///
/// A transaction without an answer may be applied at any later time. It is sent again with the same
/// preconditions: every record that it writes is guarded by the revision at which this leader left
/// it, so at most one of the attempts can ever be applied. Once one has been applied, or another
/// precondition has failed for good, none of the others can be. A conflict that follows an
/// unanswered attempt is resolved by reading back one of the records: if it has changed, that
/// attempt was applied.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "base/token_bucket.hpp"
#include "kv/client.hpp"
#include "sansio/context.hpp"
#include "wire/messages.hpp"

namespace dunebridge::state {

/// Turns a transaction that may be answered late, or never, into one with a definite outcome.
class RetriedTransaction {
  public:
    /// Called once with the outcome, unless abandon() or another send() comes first. The outcome is
    /// kv::TransactionOutcome::unknown only if nothing but a new term can keep an unanswered
    /// attempt from being applied.
    using OutcomeCallback = std::function<void(const kv::TransactionResult&)>;

    /// The retries are charged to `write_budget`; the caller charges it for the first attempt. All
    /// references must outlive this object.
    RetriedTransaction(sansio::Context& context, kv::KvClient& kv_client,
                       TokenBucket& write_budget);

    /// Sends the transaction; an earlier one that is still under way is abandoned.
    ///
    /// The first precondition must be the one on the leader key. Preconditions on records must name
    /// the revision at which this leader left them, so that only this leader can have changed them
    /// since.
    void send(std::vector<wire::Precondition> preconditions, std::vector<wire::Write> writes,
              OutcomeCallback on_outcome);
    /// Forgets the transaction under way. Its callback is not called any more, although an attempt
    /// that has been sent may still be applied.
    void abandon();

  private:
    void send_attempt();
    void retry_after_backoff();
    void retry_or_give_up();
    void handle_response(const kv::TransactionResult& result);

    void resolve_conflict(const kv::TransactionResult& conflict);
    void resolve_by_reading_back(const wire::Write& write, const kv::TransactionResult& conflict);
    void confirm_applied(const wire::Precondition& precondition, KeyRevision current_revision);
    const wire::Precondition* precondition_for(const wire::Write& write) const;
    const wire::Write* write_to_read_back() const;

    void finish(const kv::TransactionResult& result);
    void finish_with_unknown_outcome();

    /// Wraps a continuation so that it is dropped once another transaction has begun.
    template <class... Results, class Continuation>
    std::function<void(const Results&...)> unless_superseded(Continuation continuation) {
        return [this, continuation, sequence = sequence_](const Results&... results) {
            if (sequence == sequence_) continuation(results...);
        };
    }

    sansio::Context& context_;
    kv::KvClient& kv_client_;
    TokenBucket& write_budget_;
    std::uint64_t sequence_ = 0;  ///< Number of the transaction under way.
    std::vector<wire::Precondition> preconditions_;
    std::vector<wire::Write> writes_;
    OutcomeCallback on_outcome_;
    int attempts_ = 0;
    /// An attempt had no answer: it has been applied, or may be applied at any time.
    bool has_unanswered_attempt_ = false;
};

}  // namespace dunebridge::state
