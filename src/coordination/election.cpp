#include "coordination/election.hpp"

namespace dunebridge::coordination {

using kv::TransactionOutcome;
using sansio::LogLevel;

namespace {
constexpr Millis kRetry{300};
constexpr Millis kWatchWait{8000};
constexpr Millis kTimeout{2500};  // the service may be slow without being down
}  // namespace

Election::Election(sansio::Context& port, kv::KvClient& store, const config::Config& config)
    : context_(port),
      kv_client_(store),
      config_(config),
      // A restarted node is a new incarnation: it must not take its predecessor's key for its own.
      incarnation_(fmt::format("{:016x}", port.random())) {}

std::string Election::leader_value(Term term) const {
    return wire::Writer()
        .map(3)
        .text("node")
        .text(config_.name.get())
        .text("incarnation")
        .text(incarnation_)
        .text("term")
        .count(term.get())
        .take();
}

void Election::poll() {
    const auto now = context_.now();
    if (!observed_) {
        if (!reading_ && now >= next_read_) observe();
        if (!reading_) context_.request_wake(next_read_);
    } else if (!watching_) {
        watch();
    }
    const bool vacant =
        observed_ && observed_revision_ == KeyRevision() && !leader_ && now >= resigned_until_;
    if (!campaigning_ && (new_term_required_ || (vacant && eligible_))) {
        if (now >= next_campaign_) {
            campaign();
        } else {
            context_.request_wake(next_campaign_);
        }
    }
    // A lease that no key hangs on is left to end by itself.
    if (!leader_ && !campaigning_ && !new_term_required_) lease_.reset();
    if (lease_ && !renewing_) {
        if (now >= next_renewal_) {
            renew_lease();
        } else {
            context_.request_wake(next_renewal_);
        }
    }
}

void Election::observe() {
    reading_ = true;
    kv_client_.list(kLeaderKey, [this](const kv::ListResult& result) {
        reading_ = false;
        if (!result.available) {
            next_read_ = context_.now() + kRetry + context_.jitter(kRetry);
            return;
        }
        observed_ = true;
        watch_from_ = result.rev;
        bool found = false;
        for (const auto& row : result.entries) {
            if (row.key != kLeaderKey) continue;
            observe_leader_key(row.value, row.rev);
            found = true;
        }
        if (!found) observe_no_leader();
    });
}

void Election::watch() {
    watching_ = true;
    kv_client_.watch(kLeaderKey, watch_from_, kWatchWait, [this](const kv::WatchResult& result) {
        watching_ = false;
        if (result.kind != kv::WatchResult::Kind::changes) {
            observed_ = false;
            next_read_ = context_.now() + context_.jitter(kRetry);
            return;
        }
        watch_from_ = result.rev;
        for (const auto& change : result.events) {
            if (change.key != kLeaderKey) continue;
            change.removed ? observe_no_leader() : observe_leader_key(change.value, change.rev);
        }
    });
}

void Election::observe_leader_key(wire::Value value, KeyRevision rev) {
    // A read that was overtaken by this node's own later write says nothing new.
    if (leader_ && rev.get() <= leader_key_revision_.get()) return;
    observed_revision_ = rev;
    observed_leader_ = ControllerName(std::string(value["node"].text().value_or("")));
    observed_term_ = Term(value["term"].count().value_or(0));
    const bool own = value["incarnation"].text() == incarnation_;
    if (!own) {
        new_term_required_ = false;
        if (leader_) step_down("another node leads");
        return;
    }
    if (rev == leader_key_revision_) {
        if (context_.now() < resigned_until_) return;  // it resigned; the key goes with its lease
        // Left while the key still stood: something sent under this revision may still be under
        // way, so this term must not be taken up again.
        new_term_required_ = true;
        return;
    }
    // The answer to the proposal was lost or is overtaken: the key is this incarnation's, so no
    // other node can hold a later term while it stands at this revision.
    begin_term(observed_term_, rev);
}

void Election::begin_term(Term term, KeyRevision rev) {
    leader_key_revision_ = observed_revision_ = rev;
    term_ = observed_term_ = term;
    observed_leader_ = config_.name;
    new_term_required_ = false;
    leader_ = true;
    ++generation_;
    context_.log(LogLevel::info, "event=elected node={} term={}", config_.name.get(), term.get());
}

void Election::observe_no_leader() {
    observed_revision_ = KeyRevision();
    observed_leader_ = ControllerName();
    new_term_required_ = false;
    if (leader_) step_down("the leader key is gone");
    next_campaign_ = context_.now() + context_.jitter(Millis(60));
}

void Election::campaign() {
    campaigning_ = true;
    const KeyRevision over = new_term_required_ ? leader_key_revision_ : KeyRevision();
    if (lease_) {
        read_term(over);
        return;
    }
    kv_client_.create_lease(
        config_.tuning.leader_lease, [this, over](std::optional<LeaseId> lease) {
            if (!lease) {
                campaigning_ = false;
                next_campaign_ = context_.now() + kRetry + context_.jitter(kRetry);
                return;
            }
            lease_ = lease;
            next_renewal_ = context_.now() + config_.tuning.leader_lease / 3;
            read_term(over);
        });
}

void Election::read_term(KeyRevision over) {
    kv_client_.get(kTermKey, kTimeout, [this, over](const kv::GetResult& result) {
        if (!result.available) {
            campaigning_ = false;
            next_campaign_ = context_.now() + kRetry + context_.jitter(kRetry);
            return;
        }
        TermRow last;
        if (result.entry) last = {Term(result.entry->value.count().value_or(0)), result.entry->rev};
        propose(last, over);
    });
}

void Election::propose(TermRow last, KeyRevision over) {
    const Term term(last.term.get() + 1);
    const std::vector<wire::Precondition> preconditions{{kLeaderKey, over}, {kTermKey, last.rev}};
    const std::vector<wire::Write> writes{
        {kLeaderKey, leader_value(term), lease_},
        {kTermKey, wire::Writer().count(term.get()).take(), std::nullopt}};
    kv_client_.compare_and_swap(
        preconditions, writes, kTimeout, [this, term](const kv::TransactionResult& result) {
            campaigning_ = false;
            next_campaign_ = context_.now() + kRetry + context_.jitter(kRetry);
            if (result.outcome == TransactionOutcome::ok) {
                if (!leader_ || leader_key_revision_ != result.rev) begin_term(term, result.rev);
                return;
            }
            if (result.outcome == TransactionOutcome::lease_expired) {
                lease_.reset();
                next_campaign_ = context_.now();
            }
            // Lost, or not known: what the key says now decides.
            if (result.outcome == TransactionOutcome::conflict ||
                result.outcome == TransactionOutcome::unknown) {
                observed_ = false;
                next_read_ = context_.now();
            }
        });
}

void Election::renew_lease() {
    if (!lease_) return;
    renewing_ = true;
    const auto lease = *lease_;
    kv_client_.renew_lease(lease, [this, lease](kv::LeaseRenewal renewal) {
        renewing_ = false;
        const bool again_soon = renewal != kv::LeaseRenewal::renewed;
        next_renewal_ = context_.now() + config_.tuning.leader_lease / (again_soon ? 10 : 3);
        if (renewal != kv::LeaseRenewal::expired) return;
        if (lease_ == lease) lease_.reset();
        if (leader_) step_down("the lease has ended");
        observed_ = false;
        next_read_ = context_.now();
    });
}

void Election::step_down(const char* why) {
    context_.log(LogLevel::info, "event=stepped_down node={} term={} why=\"{}\"",
                 config_.name.get(), term_.get(), why);
    leader_ = false;
    new_term_required_ = false;
}

void Election::observe_newer_term(Term newer) {
    if (!leader_ || newer <= term_) return;
    step_down("a peer knows a later term");
    observed_ = false;
    next_read_ = context_.now();
}

void Election::suspend_leadership(const char* why) {
    if (!leader_) return;
    step_down(why);
    observed_ = false;
    next_read_ = context_.now();
}

void Election::resign(Millis cooldown) {
    if (!leader_) return;
    const auto key = precondition();
    step_down("it resigns");
    resigned_until_ = context_.now() + cooldown;
    // Only speeds things up: without it the key goes when its lease ends.
    kv_client_.compare_and_swap({key}, {{kLeaderKey, std::nullopt, std::nullopt}}, Millis(1500),
                                [this](const kv::TransactionResult&) {
                                    observed_ = false;
                                    next_read_ = context_.now();
                                });
}

void Election::require_new_term() {
    if (!leader_) return;
    step_down("a transaction's outcome is not known");
    new_term_required_ = true;
    next_campaign_ = context_.now();
}

}  // namespace dunebridge::coordination
