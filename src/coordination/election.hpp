/// \file
/// Election of the leader among the controllers.
///
/// A controller becomes the leader by one compare-and-swap that creates the leader key, bound to a
/// lease, and raises the term. The lease only makes a dead leader's key go away. Safety comes from
/// the key's revision: every transaction on the cluster state has the precondition that the leader
/// key stands at the revision that this leader wrote. The revision changes with every new term, so
/// nothing that a deposed leader still sends, however late it arrives, can be applied.
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

/// Why a controller stopped acting as the leader. For the log.
enum class StepDownReason : std::uint8_t {
    other_leader,      ///< The leader key names another controller.
    key_removed,       ///< There is no leader key any more.
    lease_expired,     ///< The lease of the leader key has expired.
    newer_term,        ///< A peer or a worker has shown that there is a newer term.
    event_loop_stall,  ///< The process did not run for so long that it may have been replaced.
    isolated,          ///< Neither the key-value store nor a peer has responded for long.
    resigned,          ///< It gave up the leadership so that another controller can lead.
    unknown_outcome    ///< The outcome of a transaction is not known; a new term settles it.
};

/// Takes part in the election of the leader and follows its outcome.
class Election {
  public:
    /// Context, client and configuration must outlive the election.
    Election(sansio::Context& context, kv::KvClient& kv_client, const config::Config& config);

    /// Does what is due: observes the leader key, campaigns, renews the lease. To be called at
    /// every turn of the event loop; requests to be run again when something will be due.
    void poll();

    bool is_leader() const { return is_leader_; }
    /// The latest term in which this controller has led.
    Term term() const { return term_; }
    /// Leadership epoch of this process: grows each time it becomes the leader, also when it
    /// succeeds itself. What was begun in an earlier one must not be acted upon.
    std::uint64_t generation() const { return generation_; }
    /// The precondition that fences off every earlier leader, this controller's earlier terms
    /// included. Part of every transaction on the cluster state.
    wire::Precondition fencing_precondition() const { return {kLeaderKey, own_key_revision_}; }
    /// The leader last seen in the key-value store, empty if none.
    const ControllerName& observed_leader() const { return observed_leader_; }

    /// Steps down if the term, seen in a message of a peer or worker, is newer than one's own:
    /// another controller leads or has led with it.
    void observe_newer_term(Term newer);
    /// The outcome of a transaction on the cluster state is not known. Steps down and takes a new
    /// term over this controller's own key: that changes the key's revision, so the transaction can
    /// no longer be applied if it has not been, and reading the store again shows which it is.
    void require_new_term();
    /// Gives up the leadership, and does not campaign during the cooldown, so that another
    /// controller can lead.
    void resign(Millis cooldown);
    /// Stops acting as the leader until the key-value store has shown who leads.
    void suspend_leadership(StepDownReason reason);
    /// Whether this controller may campaign for a vacant leadership. One that the key-value store
    /// serves badly should not.
    void set_eligible(bool eligible) { eligible_ = eligible; }

  private:
    struct StoredTerm {
        Term term;
        KeyRevision rev;  ///< 0: there has not been a term.
    };

    void poll_leader_key();
    void read_leader_key();
    void watch_leader_key();
    void handle_watch_result(const kv::WatchResult& result);
    void observe_leader_key(wire::Value value, KeyRevision rev);
    void observe_own_key(Term term, KeyRevision rev);
    void observe_no_leader();
    /// The leader key is to be read again, not before `at`.
    void schedule_leader_key_read(Instant at);

    void poll_campaign();
    bool leadership_is_vacant() const;
    void campaign();
    void finish_campaign();
    void read_stored_term(KeyRevision replaced);
    /// Tries to write the leader key for the next term. `replaced` is the revision of this
    /// controller's own key that it takes the place of; 0: there must not be a key.
    void propose(const StoredTerm& last, KeyRevision replaced);
    void handle_proposal_result(Term proposed, const kv::TransactionResult& result);
    Instant next_retry_at();

    void handle_lease_expiry();
    void begin_term(Term term, KeyRevision rev);
    void step_down(StepDownReason reason);

    sansio::Context& context_;
    kv::KvClient& kv_client_;
    const config::Config& config_;
    std::string incarnation_;  ///< See LeaderRecord.
    LeaderLease lease_;

    bool is_leader_ = false;
    bool eligible_ = true;
    std::uint64_t generation_ = 0;
    Term term_;
    KeyRevision own_key_revision_;  ///< Of the leader key as this controller last wrote it.

    ControllerName observed_leader_;
    KeyRevision observed_revision_;  ///< Of the leader key as last seen; 0: there is none.
    bool leader_key_current_ =
        false;  ///< The leader key has been read, and no change missed since.
    bool read_in_flight_ = false;
    bool watch_in_flight_ = false;
    KeyRevision watch_from_;
    Instant next_read_at_{};

    bool campaigning_ = false;
    bool new_term_required_ = false;  ///< A campaign over this controller's own key is wanted.
    Instant next_campaign_at_{};
    Instant resigned_until_{};
};

}  // namespace dunebridge::coordination
