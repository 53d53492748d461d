// Leadership: a conditional write under a lease, giving a new term.
//
// The lease only makes a dead leader's key go away. Safety comes from the key's revision: every
// ledger transaction guards it, so nothing that a deposed leader still sends can be applied.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "base/types.hpp"
#include "config/config.hpp"
#include "kv/client.hpp"
#include "sansio/context.hpp"

namespace dunebridge::coordination {

inline constexpr const char* kLeaderKey = "lead";
inline constexpr const char* kTermKey = "term";

class Election {
  public:
    Election(sansio::Context& port, kv::KvClient& store, const config::Config& config);

    void poll();

    bool is_leader() const { return leader_; }
    Term term() const { return term_; }
    // Grows each time this node takes office, also when it follows itself.
    std::uint64_t generation() const { return generation_; }
    wire::Precondition precondition() const { return {kLeaderKey, leader_key_revision_}; }
    // The leader as last seen in the state service, empty if none.
    const ControllerName& observed_leader() const { return observed_leader_; }

    // Another node is known to lead with a later term.
    void observe_newer_term(Term newer);
    // The outcome of a ledger transaction is not known: take a new term over one's own key, so
    // that the transaction can no longer be applied if it has not been.
    void require_new_term();
    // Gives the leadership up and does not stand for a while, so that another node can lead.
    void resign(Millis cooldown);
    // Stops acting as the leader until the state service shows who leads.
    void suspend_leadership(const char* why);
    // Whether this node may stand; a node that the state service serves badly should not.
    void set_eligible(bool eligible) { eligible_ = eligible; }

  private:
    struct TermRow {
        Term term;
        KeyRevision rev;
    };

    void observe();
    void watch();
    void observe_leader_key(wire::Value value, KeyRevision rev);
    void observe_no_leader();
    void campaign();
    void read_term(KeyRevision over);
    void propose(TermRow last, KeyRevision over);
    void renew_lease();
    void begin_term(Term term, KeyRevision rev);
    void step_down(const char* why);
    std::string leader_value(Term term) const;

    sansio::Context& context_;
    kv::KvClient& kv_client_;
    const config::Config& config_;
    std::string incarnation_;

    bool leader_ = false;
    bool eligible_ = true;
    std::uint64_t generation_ = 0;
    Term term_;
    KeyRevision leader_key_revision_;
    ControllerName observed_leader_;
    Term observed_term_;
    KeyRevision observed_revision_;
    bool observed_ = false;  // the lead key's state is known and watched

    std::optional<LeaseId> lease_;
    bool reading_ = false;
    bool watching_ = false;
    bool campaigning_ = false;
    bool renewing_ = false;
    bool new_term_required_ = false;
    KeyRevision watch_from_;
    Instant next_read_{};
    Instant next_campaign_{};
    Instant next_renewal_{};
    Instant resigned_until_{};
};

}  // namespace dunebridge::coordination
