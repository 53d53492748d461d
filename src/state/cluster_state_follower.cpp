#include "state/cluster_state_follower.hpp"

#include <algorithm>

#include "kv/keys.hpp"
#include "kv/records.hpp"
#include "state/record_reading.hpp"
#include "state/task_ranges.hpp"
#include "state/while_in_term.hpp"

namespace dunebridge::state {

namespace {
constexpr Millis kLongestWait{8000};
constexpr Millis kShortestWait{500};
constexpr Millis kRetryBackoff{300};
constexpr Millis kPause{20};  // gathers changes that come together into one answer
constexpr Millis kDependenciesRetryBackoff{500};
}  // namespace

ClusterStateFollower::ClusterStateFollower(sansio::Context& context, kv::KvClient& kv_client,
                                           coordination::Election& election,
                                           ClusterState& cluster_state,
                                           const config::Config& config)
    : context_(context),
      kv_client_(kv_client),
      election_(election),
      state_(cluster_state),
      config_(config) {}

void ClusterStateFollower::start(KeyRevision from, Instant terminal_records_read_at) {
    terminal_records_read_at_ = terminal_records_read_at;
    watch(WatchedRecords::jobs, from);
    watch(WatchedRecords::terminal_records, from);
}

// What is known of terminal records must never be older than leases allow: an answer without
// changes, too, shows that there were none.
Millis ClusterStateFollower::longest_wait(WatchedRecords records) const {
    if (records == WatchedRecords::jobs) return kLongestWait;
    return std::clamp(config_.max_cancellation_staleness() / 4, kShortestWait, kLongestWait);
}

void ClusterStateFollower::watch(WatchedRecords records, KeyRevision from) {
    const auto* prefix = records == WatchedRecords::jobs ? kv::kJobPrefix : kv::kTerminalPrefix;
    const auto handle = [this, records, from,
                         sent_at = context_.now()](const kv::WatchResult& result) {
        if (result.kind == kv::WatchResult::Kind::compacted) {
            // Changes have been missed: a new term reads everything again.
            election_.require_new_term();
            return;
        }
        for (const auto& change : result.events) apply_change(records, change);
        if (result.kind == kv::WatchResult::Kind::failed) {
            watch_after(kRetryBackoff, records, from);
            return;
        }
        if (records == WatchedRecords::terminal_records) {
            terminal_records_read_at_ = std::max(terminal_records_read_at_, sent_at);
        }
        watch_after(kPause, records, result.rev);
    };
    kv_client_.watch(prefix, from, longest_wait(records),
                     while_in_term<kv::WatchResult>(state_, handle));
}

void ClusterStateFollower::watch_after(Millis delay, WatchedRecords records, KeyRevision from) {
    context_.after(delay, while_in_term(state_, [this, records, from] { watch(records, from); }));
}

void ClusterStateFollower::apply_change(WatchedRecords records, const kv::WatchEvent& change) {
    if (change.removed) return;
    if (records == WatchedRecords::jobs) {
        add_new_job(change);
    } else {
        apply_terminal_record(change);
    }
}

void ClusterStateFollower::apply_terminal_record(const kv::WatchEvent& change) {
    const JobId id(kv::without_prefix(change.key, kv::kTerminalPrefix));
    const auto record = kv::decode_terminal_record(change.value);
    state_.mark_cancelled(id, record.at_ms);
    state_.ended(id, record.phase);
}

void ClusterStateFollower::add_new_job(const kv::WatchEvent& change) {
    Job* job = nullptr;
    try {
        job = state_.add_job(kv::decode_job_record(change.value), change.rev);
    } catch (const wire::DecodeError& error) {
        log_invalid_record(context_, {change.key, error.what()});
        return;
    }
    if (!job) return;
    complete_ranges(*job, state_.format());
    if (job->dependencies.record_count > 0) {
        read_dependencies(job->spec.id);
    } else {
        state_.dependencies().add(*job);
    }
}

// They were created in the same transaction as the job's record.
void ClusterStateFollower::read_dependencies(const JobId& id) {
    const auto handle = [this, id](const kv::ListResult& records) {
        auto* job = state_.find_job(id);
        if (!job) return;
        if (!records.available || records.entries.size() != job->dependencies.record_count) {
            context_.after(kDependenciesRetryBackoff,
                           while_in_term(state_, [this, id] { read_dependencies(id); }));
            return;
        }
        apply_dependencies(*job, records);
    };
    kv_client_.list(kv::dependency_prefix(id), while_in_term<kv::ListResult>(state_, handle));
}

void ClusterStateFollower::apply_dependencies(Job& job, const kv::ListResult& records) {
    const auto invalid = apply_entries(records.entries, [this, &job](const kv::Entry& row) {
        apply_dependency_record(state_, job, row);
    });
    if (invalid) {
        resign_over_invalid_record(context_, election_, *invalid);
        return;
    }
    state_.dependencies().add(job);
}

}  // namespace dunebridge::state
