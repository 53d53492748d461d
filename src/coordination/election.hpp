/// \file
/// Leader election among the controllers.
///
/// A controller becomes the leader with one compare-and-swap transaction that creates the leader
/// key, bound to a lease, and increments the term. The lease only ensures that the key of a failed
/// leader is removed. Safety comes from the key's revision: every transaction on the cluster state
/// has the precondition that the leader key still has the revision that this leader wrote. The
/// revision changes with every new term, so a write of a deposed leader is rejected however late it
/// arrives.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "base/types.hpp"
#include "config/config.hpp"
#include "coordination/leader_lease.hpp"
#include "coordination/leader_record.hpp"
#include "kv/client.hpp"
#include "sansio/context.hpp"

namespace dunebridge::coordination {

/// Why a controller stopped acting as the leader. Used in the log only.
enum class StepDownReason : std::uint8_t {
    other_leader,      ///< The leader key names another controller.
    key_removed,       ///< The leader key has been removed.
    lease_expired,     ///< The lease of the leader key has expired.
    newer_term,        ///< A peer or a worker has reported a newer term.
    event_loop_stall,  ///< The process was stalled for so long that another may lead.
    isolated,          ///< Neither the key-value store nor a peer has responded for a long time.
    resigned,          ///< It gave up the leadership for another controller.
    unknown_outcome    ///< The outcome of a transaction is unknown; a new term resolves it.
};

/// Takes part in the leader election and observes its outcome.
class Election {
  public:
    /// The context, the client and the configuration must outlive the election.
    Election(sansio::Context& context, kv::KvClient& kv_client, const config::Config& config);

    /// Performs the actions that are due: reads or watches the leader key, campaigns and renews the
    /// lease. Must be called in every iteration of the event loop. Requests a wake-up for the next
    /// due action.
    void poll();

    /// Whether this controller is the elected leader. It may not have loaded the cluster state yet.
    bool is_leader() const { return is_leader_; }
    /// The latest term in which this controller has been the leader; 0 if there is none.
    Term term() const { return term_; }
    /// Number of times that this process has become the leader, including when the previous leader
    /// was this process itself. The result of an operation that was started in an earlier
    /// generation must be ignored.
    std::uint64_t generation() const { return generation_; }
    /// Precondition that rejects the writes of every earlier leader, including those of this
    /// controller in its earlier terms. Every transaction on the cluster state must include it.
    wire::Precondition fencing_precondition() const { return {kLeaderKey, own_key_revision_}; }
    /// The leader last read from the key-value store; empty if there was none.
    const ControllerName& observed_leader() const { return observed_leader_; }

    /// Steps down if `newer`, a term received from a peer or a worker, is later than this
    /// controller's own term: another controller is or was the leader in that term.
    void observe_newer_term(Term newer);
    /// Steps down and campaigns for a new term, in which this controller replaces its own leader
    /// key. To be called when the outcome of a transaction on the cluster state is unknown: the new
    /// term changes the revision of the leader key, so the transaction can no longer be applied if
    /// it has not been applied yet, and reading the store again shows its outcome.
    void require_new_term();
    /// Gives up the leadership and does not campaign during the cooldown, so that another
    /// controller can become the leader.
    void resign(Millis cooldown);
    /// Stops acting as the leader until the leader key has been read again.
    void suspend_leadership(StepDownReason reason);
    /// Sets whether this controller may campaign while there is no leader. A controller with poor
    /// access to the key-value store should not.
    void set_eligible(bool eligible) { eligible_ = eligible; }

  private:
    struct StoredTerm {
        Term term;
        KeyRevision rev;  ///< Revision of the term key; 0: the key does not exist.
    };

    void poll_leader_key();
    void read_leader_key();
    void watch_leader_key();
    void handle_watch_result(const kv::WatchResult& result);
    void observe_leader_key(wire::Value value, KeyRevision rev);
    void observe_own_key(Term term, KeyRevision rev);
    void observe_no_leader();
    /// Marks the known state of the leader key as outdated; it is read again at `at` or later.
    void schedule_leader_key_read(Instant at);

    void poll_campaign();
    bool leadership_is_vacant() const;
    void campaign();
    void finish_campaign();
    void read_stored_term(KeyRevision replaced);
    /// Tries to write the leader key and the term that follows `last`. `replaced` is the revision
    /// of this controller's own key that is replaced; 0: there must be no leader key.
    void propose(const StoredTerm& last, KeyRevision replaced);
    void handle_proposal_result(Term proposed, const kv::TransactionResult& result);
    /// A moment after the retry delay with random jitter.
    Instant next_retry_at();

    void handle_lease_expiry();
    void begin_term(Term term, KeyRevision rev);
    void step_down(StepDownReason reason);

    sansio::Context& context_;
    kv::KvClient& kv_client_;
    const config::Config& config_;
    std::string incarnation_;  ///< Random id of this process, see LeaderRecord.
    LeaderLease lease_;

    bool is_leader_ = false;
    bool eligible_ = true;
    std::uint64_t generation_ = 0;
    Term term_;
    KeyRevision own_key_revision_;  ///< Of the leader key, as last written by this controller.

    ControllerName observed_leader_;
    KeyRevision observed_revision_;  ///< Of the leader key, as last read; 0: there is no key.
    /// Whether the leader key has been read and no change to it has been missed since.
    bool leader_key_current_ = false;
    bool read_in_flight_ = false;
    bool watch_in_flight_ = false;
    KeyRevision watch_from_;
    Instant next_read_at_{};

    bool campaigning_ = false;
    /// Whether this controller must replace its own leader key in a new term.
    bool new_term_required_ = false;
    Instant next_campaign_at_{};
    Instant resigned_until_{};  ///< End of the cooldown after a resignation.
};

}  // namespace dunebridge::coordination
