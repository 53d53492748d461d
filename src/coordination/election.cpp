#include "coordination/election.hpp"

namespace dunebridge::coordination {

using kv::TransactionOutcome;
using sansio::LogLevel;

namespace {
// A random delay of up to the same length is added, so that the controllers do not retry at the
// same moment.
constexpr Millis kRetryDelay{300};
constexpr Millis kMaxCampaignDelay{60};
constexpr Millis kWatchWait{8000};
constexpr Millis kRequestTimeout{2500};  // a slow key-value store is not treated as down
constexpr Millis kResignTimeout{1500};

const char* describe(StepDownReason reason) {
    switch (reason) {
        case StepDownReason::other_leader:
            return "another node leads";
        case StepDownReason::key_removed:
            return "the leader key was removed";
        case StepDownReason::lease_expired:
            return "the lease has expired";
        case StepDownReason::newer_term:
            return "a later term is known";
        case StepDownReason::event_loop_stall:
            return "the event loop stalled";
        case StepDownReason::isolated:
            return "neither the key-value store nor a peer responds";
        case StepDownReason::resigned:
            return "it resigned";
        case StepDownReason::unknown_outcome:
            return "the outcome of a transaction is unknown";
    }
    return "";
}
}  // namespace

Election::Election(sansio::Context& context, kv::KvClient& kv_client, const config::Config& config)
    : context_(context),
      kv_client_(kv_client),
      config_(config),
      incarnation_(fmt::format("{:016x}", context.random())),
      lease_(context, kv_client, config, [this] { handle_lease_expiry(); }) {}

void Election::poll() {
    poll_leader_key();
    poll_campaign();
    // No key is bound to the lease: it is no longer renewed and expires.
    if (!is_leader_ && !campaigning_ && !new_term_required_) lease_.abandon();
    lease_.renew_if_due();
}

// ---- reading and watching the leader key ----

void Election::poll_leader_key() {
    if (leader_key_current_) {
        if (!watch_in_flight_) watch_leader_key();
        return;
    }
    if (!read_in_flight_ && context_.now() >= next_read_at_) read_leader_key();
    if (!read_in_flight_) context_.request_wake(next_read_at_);
}

void Election::schedule_leader_key_read(Instant at) {
    leader_key_current_ = false;
    next_read_at_ = at;
}

void Election::read_leader_key() {
    read_in_flight_ = true;
    // A listing also returns the store's revision; a watch that starts there misses no change.
    kv_client_.list(kLeaderKey, [this](const kv::ListResult& result) {
        read_in_flight_ = false;
        if (!result.available) {
            next_read_at_ = next_retry_at();
            return;
        }
        leader_key_current_ = true;
        watch_from_ = result.rev;
        bool found = false;
        for (const auto& entry : result.entries) {
            if (entry.key != kLeaderKey) continue;
            observe_leader_key(entry.value, entry.rev);
            found = true;
        }
        if (!found) observe_no_leader();
    });
}

void Election::watch_leader_key() {
    watch_in_flight_ = true;
    kv_client_.watch(kLeaderKey, watch_from_, kWatchWait, [this](const kv::WatchResult& result) {
        watch_in_flight_ = false;
        handle_watch_result(result);
    });
}

void Election::handle_watch_result(const kv::WatchResult& result) {
    if (result.kind != kv::WatchResult::Kind::changes) {
        schedule_leader_key_read(context_.now() + context_.jitter(kRetryDelay));
        return;
    }
    watch_from_ = result.rev;
    for (const auto& event : result.events) {
        if (event.key != kLeaderKey) continue;
        if (event.removed) {
            observe_no_leader();
        } else {
            observe_leader_key(event.value, event.rev);
        }
    }
}

void Election::observe_leader_key(wire::Value value, KeyRevision rev) {
    // Ignores a result that is older than this controller's own write of the key.
    if (is_leader_ && rev <= own_key_revision_) return;
    const auto record = decode_leader_record(value);
    observed_revision_ = rev;
    observed_leader_ = record.node;
    if (record.incarnation == incarnation_) {
        observe_own_key(record.term, rev);
        return;
    }
    new_term_required_ = false;
    if (is_leader_) step_down(StepDownReason::other_leader);
}

void Election::observe_own_key(Term term, KeyRevision rev) {
    if (rev != own_key_revision_) {
        // The response to the proposal was lost or has not arrived yet. This incarnation wrote the
        // key, so no other controller can hold a later term while the key has this revision.
        begin_term(term, rev);
        return;
    }
    // This controller resigned: the key is removed when its lease expires.
    if (context_.now() < resigned_until_) return;
    // This controller stepped down while the key still existed. A transaction with this revision as
    // its precondition may still be in flight, so the term must not be resumed.
    new_term_required_ = true;
}

void Election::observe_no_leader() {
    observed_revision_ = KeyRevision();
    observed_leader_ = ControllerName();
    new_term_required_ = false;
    if (is_leader_) step_down(StepDownReason::key_removed);
    next_campaign_at_ = context_.now() + context_.jitter(kMaxCampaignDelay);
}

// ---- campaign ----

bool Election::leadership_is_vacant() const {
    return leader_key_current_ && observed_revision_ == KeyRevision() && !is_leader_ &&
           context_.now() >= resigned_until_;
}

void Election::poll_campaign() {
    if (campaigning_) return;
    const bool wanted = new_term_required_ || (leadership_is_vacant() && eligible_);
    if (!wanted) return;
    if (context_.now() >= next_campaign_at_) {
        campaign();
    } else {
        context_.request_wake(next_campaign_at_);
    }
}

void Election::campaign() {
    campaigning_ = true;
    const KeyRevision replaced = new_term_required_ ? own_key_revision_ : KeyRevision();
    lease_.acquire([this, replaced](bool acquired) {
        if (acquired) {
            read_stored_term(replaced);
        } else {
            finish_campaign();
        }
    });
}

Instant Election::next_retry_at() {
    return context_.now() + kRetryDelay + context_.jitter(kRetryDelay);
}

void Election::finish_campaign() {
    campaigning_ = false;
    next_campaign_at_ = next_retry_at();
}

void Election::read_stored_term(KeyRevision replaced) {
    kv_client_.get(kTermKey, kRequestTimeout, [this, replaced](const kv::GetResult& result) {
        if (!result.available) {
            finish_campaign();
            return;
        }
        StoredTerm last;
        if (result.entry) {
            last = {Term(result.entry->value.count().value_or(0)), result.entry->rev};
        }
        propose(last, replaced);
    });
}

void Election::propose(const StoredTerm& last, KeyRevision replaced) {
    const Term term(last.term.get() + 1);
    const std::vector<wire::Precondition> preconditions{{kLeaderKey, replaced},
                                                        {kTermKey, last.rev}};
    const std::vector<wire::Write> writes{
        {kLeaderKey, encode(LeaderRecord{config_.name, incarnation_, term}), lease_.id()},
        {kTermKey, wire::Writer().count(term.get()).take(), std::nullopt}};
    kv_client_.compare_and_swap(preconditions, writes, kRequestTimeout,
                                [this, term](const kv::TransactionResult& result) {
                                    handle_proposal_result(term, result);
                                });
}

void Election::handle_proposal_result(Term proposed, const kv::TransactionResult& result) {
    finish_campaign();
    switch (result.outcome) {
        case TransactionOutcome::ok:
            // The watch may have reported the new key already.
            if (!is_leader_ || own_key_revision_ != result.rev) begin_term(proposed, result.rev);
            break;
        case TransactionOutcome::lease_expired:
            lease_.abandon();
            next_campaign_at_ = context_.now();
            break;
        case TransactionOutcome::conflict:
        case TransactionOutcome::unknown:
            // Either another controller's proposal has been applied or this one has. Reading the
            // leader key shows which.
            schedule_leader_key_read(context_.now());
            break;
        case TransactionOutcome::refused:
        case TransactionOutcome::malformed:
            break;
    }
}

// ---- leadership ----

void Election::begin_term(Term term, KeyRevision rev) {
    own_key_revision_ = rev;
    observed_revision_ = rev;
    observed_leader_ = config_.name;
    term_ = term;
    new_term_required_ = false;
    is_leader_ = true;
    ++generation_;
    context_.log(LogLevel::info, "event=elected node={} term={}", config_.name.get(), term.get());
}

void Election::step_down(StepDownReason reason) {
    context_.log(LogLevel::info, "event=stepped_down node={} term={} why=\"{}\"",
                 config_.name.get(), term_.get(), describe(reason));
    is_leader_ = false;
    new_term_required_ = false;
}

void Election::handle_lease_expiry() {
    if (is_leader_) step_down(StepDownReason::lease_expired);
    schedule_leader_key_read(context_.now());
}

void Election::observe_newer_term(Term newer) {
    if (newer > term_) suspend_leadership(StepDownReason::newer_term);
}

void Election::suspend_leadership(StepDownReason reason) {
    if (!is_leader_) return;
    step_down(reason);
    schedule_leader_key_read(context_.now());
}

void Election::resign(Millis cooldown) {
    if (!is_leader_) return;
    const auto own_key = fencing_precondition();
    step_down(StepDownReason::resigned);
    resigned_until_ = context_.now() + cooldown;
    // Removing the key only shortens the handover: otherwise it is removed when its lease expires.
    kv_client_.compare_and_swap(
        {own_key}, {{kLeaderKey, std::nullopt, std::nullopt}}, kResignTimeout,
        [this](const kv::TransactionResult&) { schedule_leader_key_read(context_.now()); });
}

void Election::require_new_term() {
    if (!is_leader_) return;
    step_down(StepDownReason::unknown_outcome);
    new_term_required_ = true;
    next_campaign_at_ = context_.now();
}

}  // namespace dunebridge::coordination
