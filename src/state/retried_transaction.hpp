// One ledger transaction at a time, sent until its outcome is known.
//
// A transaction that gets no answer may be applied at any later time. It is sent again with the
// same preconditions: each record that it writes is guarded at the revision it had, so at most one
// of the copies can ever be applied, and once one has been, or some other precondition has failed
// for good, none of the others can. A conflict that follows a lost copy is settled by reading one
// of the records: if it has changed, the lost copy was applied.
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

class RetriedTransaction {
  public:
    // Never called with Outcome::unknown unless nothing but a new term can settle the matter.
    using Done = std::function<void(const kv::TransactionResult&)>;

    // The budget is charged for what is sent again; the caller charges it for the first copy.
    RetriedTransaction(sansio::Context& port, kv::KvClient& store, TokenBucket& budget);

    // The first precondition must be the one on the leader key. Those on records must name the
    // revision at which only this leader can have changed them.
    void send(std::vector<wire::Precondition> preconditions, std::vector<wire::Write> writes,
              Done done);
    // Forgets the transaction under way; its caller is not called any more.
    void abandon();

  private:
    void send_copy();
    void send_again();
    // Goes on after the pause, unless another transaction has begun.
    void after(Millis pause, std::function<void()> then);
    void answered(const kv::TransactionResult& result);
    void settle(const kv::TransactionResult& conflict);
    void settle_by(std::size_t write, const kv::TransactionResult& conflict);
    static bool written_by_a_user(const wire::Write& write, const kv::GetResult& result);
    void confirm_applied(const wire::Precondition& precondition, KeyRevision now);
    void finish(const kv::TransactionResult& result);
    const wire::Precondition* precondition_of(const wire::Write& write) const;
    std::optional<std::size_t> telling_write() const;
    // Wraps a continuation so that it is dropped once another transaction has begun.
    template <class Result, class Then>
    std::function<void(const Result&)> while_current(Then then) {
        return [this, then, sequence = sequence_](const Result& result) {
            if (sequence == sequence_) then(result);
        };
    }

    sansio::Context& context_;
    kv::KvClient& kv_client_;
    TokenBucket& budget_;
    std::uint64_t sequence_ = 0;
    std::vector<wire::Precondition> preconditions_;
    std::vector<wire::Write> writes_;
    Done done_;
    int copies_ = 0;
    bool some_lost_ = false;  // a copy without an answer may yet be applied, or has been
};

}  // namespace dunebridge::state
