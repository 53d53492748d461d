#include "state/cluster_state_follower.hpp"

#include <algorithm>

#include "kv/keys.hpp"
#include "kv/records.hpp"
#include "state/record_reading.hpp"
#include "state/task_ranges.hpp"
#include "state/while_in_term.hpp"

namespace dunebridge::state {

namespace {
constexpr Millis kMaxWatchTimeout{8000};
constexpr Millis kMinWatchTimeout{500};
constexpr Millis kRetryBackoff{300};
constexpr Millis kBatchDelay{20};  // lets the next watch return several changes at once
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

// The time after which the key-value store answers a watch even without changes. Watches on
// terminal records must be answered often enough for the staleness that the renewal of leases
// allows; an answer without changes also confirms that there were none.
Millis ClusterStateFollower::watch_timeout(WatchedRecords records) const {
    if (records == WatchedRecords::jobs) return kMaxWatchTimeout;
    return std::clamp(config_.max_cancellation_staleness() / 4, kMinWatchTimeout, kMaxWatchTimeout);
}

void ClusterStateFollower::watch(WatchedRecords records, KeyRevision from) {
    const auto* prefix = records == WatchedRecords::jobs ? kv::kJobPrefix : kv::kTerminalPrefix;
    const auto handle = [this, records, from,
                         sent_at = context_.now()](const kv::WatchResult& result) {
        if (result.kind == kv::WatchResult::Kind::compacted) {
            // Changes were missed: a new term loads everything again.
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
        watch_after(kBatchDelay, records, result.rev);
    };
    kv_client_.watch(prefix, from, watch_timeout(records),
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
    state_.mark_terminal(id, record.ended_ms);
    state_.handle_job_end(id, record.phase);
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

// Dependency records are created in the same transaction as the job's record. A read that returns
// fewer of them is repeated.
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
