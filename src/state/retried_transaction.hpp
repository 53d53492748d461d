/// \file
/// Sends one compare-and-swap transaction at a time, and retries it until its outcome is known.
///
/// A transaction without a response may still be applied at any later time. It is sent again with
/// the same preconditions. These require that every record that it writes is at the revision at
/// which this leader left it, so at most one of the attempts can ever be applied: once one has been
/// applied, or another precondition has failed permanently, the others cannot be applied. If a
/// conflict follows an attempt without a response, one of the records is read back: if it has
/// changed, that attempt was applied.
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

/// Determines the outcome of a transaction whose response may come late or never.
class RetriedTransaction {
  public:
    /// Called once with the outcome, unless abandon() or another send() comes first. The outcome is
    /// kv::TransactionOutcome::unknown if an attempt without a response may have been applied or
    /// may still be applied: only a new term resolves this uncertainty.
    using OutcomeCallback = std::function<void(const kv::TransactionResult&)>;

    /// Retries are charged to `write_budget`; the caller charges the first attempt. All references
    /// must outlive this object.
    RetriedTransaction(sansio::Context& context, kv::KvClient& kv_client,
                       TokenBucket& write_budget);

    /// Sends the transaction and abandons an earlier one that is still in progress.
    ///
    /// The first precondition must be the one on the leader key. Those on records must name the
    /// revision at which this leader left the record, so that only this leader can have changed it
    /// since.
    void send(std::vector<wire::Precondition> preconditions, std::vector<wire::Write> writes,
              OutcomeCallback on_outcome);
    /// Stops retrying the transaction in progress and drops its callback. An attempt that has been
    /// sent may still be applied.
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

    /// Wraps a continuation so that it does nothing once the transaction in progress is finished,
    /// abandoned or replaced by another one.
    template <class... Results, class Continuation>
    std::function<void(const Results&...)> unless_superseded(Continuation continuation) {
        return [this, continuation, sequence = sequence_](const Results&... results) {
            if (sequence == sequence_) continuation(results...);
        };
    }

    sansio::Context& context_;
    kv::KvClient& kv_client_;
    TokenBucket& write_budget_;
    std::uint64_t sequence_ = 0;  ///< Changes whenever a transaction begins or ends.
    std::vector<wire::Precondition> preconditions_;
    std::vector<wire::Write> writes_;
    OutcomeCallback on_outcome_;
    int attempts_ = 0;
    /// Some attempt had no response: it may have been applied, or may be applied at any later time.
    bool has_unanswered_attempt_ = false;
};

}  // namespace dunebridge::state
