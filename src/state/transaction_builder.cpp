#include "state/transaction_builder.hpp"

#include <algorithm>
#include <utility>

#include "config/record_format.hpp"
#include "kv/keys.hpp"
#include "state/record_codec.hpp"
#include "state/task_ranges.hpp"

namespace dunebridge::state {

using kv::kProgressPrefix;
using kv::kScaleOutPrefix;
using kv::kTerminalPrefix;
using kv::without_prefix;

namespace {
// After the record of a job's tasks has grown too large for another placement.
constexpr Millis kPostponed{2000};
// A transaction's bytes, of the 64 KiB that the state service takes.
constexpr std::size_t kTransactionBytes = std::size_t{60} * 1024;
// A record's part of a transaction besides its key and value, at most.
constexpr std::size_t kOverheadBytes = 192;

std::size_t size_in_transaction(const std::string& key,
                                const std::optional<kv::PackedRecord>& record) {
    return kOverheadBytes + key.size() + (record ? record->json_size : 0);
}
}  // namespace

RecordedRange find_recorded_range(ClusterState& cluster_state, const std::string& progress_key) {
    const auto name = without_prefix(progress_key, kProgressPrefix);
    auto* job = cluster_state.find_job(JobId(name.substr(0, name.rfind('/'))));
    if (!job) return {};
    return {job, find_range(*job, progress_key)};
}

wire::JobPhase end_of(const Job& job) {
    return job.cancelled_by_dependency ? wire::JobPhase::cancelled : wire::JobPhase::done;
}

TransactionBuilder::TransactionBuilder(sansio::Context& port, ClusterState& cluster_state,
                                       RecordReplacements& replacements, TransactionLimits limits,
                                       wire::Precondition leads)
    : context_(port), state_(cluster_state), replacements_(replacements), limits_(limits) {
    commit_.version = cluster_state.version();
    commit_.preconditions.push_back(std::move(leads));
}

// The record as it is to be written; none if it is to be removed.
std::optional<TransactionBuilder::Record> TransactionBuilder::encode_record(
    const std::string& key) {
    if (key.starts_with(kProgressPrefix)) {
        const auto [job, range] = find_recorded_range(state_, key);
        if (range) return encode_progress(*job, *range);
    } else if (key == kv::kFormatMark) {
        if (state_.format() < config::kRangeFormat) return std::nullopt;
        return encode_format_mark(state_.format());
    } else if (key.starts_with(kScaleOutPrefix)) {
        const auto it = state_.rentals().find(without_prefix(key, kScaleOutPrefix));
        if (it != state_.rentals().end()) return encode_scale_out(it->second);
    } else if (key.starts_with(kTerminalPrefix)) {
        const auto* job = state_.find_job(JobId(without_prefix(key, kTerminalPrefix)));
        if (!job) return std::nullopt;
        return encode(kv::TerminalRecord{end_of(*job), job->spec.task_count, context_.wall_ms()});
    }
    return std::nullopt;
}

bool TransactionBuilder::add(const std::string& key) {
    const auto original = replacements_.original_of(key);
    const bool replaced = replacements_.is_original(original);
    const auto& added = commit_.originals;
    if (replaced && std::find(added.begin(), added.end(), original) != added.end()) return true;
    auto record = encode_record(key);
    if (!record && !state_.stored().contains(key) && !replaced) {
        state_.dirty().erase(key);
        return true;
    }
    if (record && record->json_size > value_limit() && !fit_to_limit(key, record)) return true;
    if (replaced) return add_replacement(original);
    if (commit_.writes.size() >= limits_.writes) return false;
    const auto bytes = commit_.bytes + size_in_transaction(key, record);
    if (bytes > kTransactionBytes && !commit_.writes.empty()) return false;
    add_record(key, std::move(record));
    return true;
}

// The size at which records are split; in the older format they cannot be.
std::size_t TransactionBuilder::value_limit() const {
    return state_.format() >= config::kRangeFormat ? limits_.state.value_bytes()
                                                   : limits_.state.value_bytes_now(limits_.lowered);
}

// A record that is too large is split, or grows less. False if it can't be written now.
bool TransactionBuilder::fit_to_limit(const std::string& key, std::optional<Record>& record) {
    if (split(key)) return false;
    postpone_placements(key, record);
    if (!record || record->json_size <= limits_.state.value_bytes_now(limits_.lowered)) return true;
    // It stays as it was; what it adds is never acted on.
    context_.log(sansio::LogLevel::error, "event=record_too_large key={} bytes={}", key,
                 record->json_size);
    return false;
}

// A range whose record has grown too large becomes several, each of which fits.
bool TransactionBuilder::split(const std::string& key) {
    const auto [job, range] = find_recorded_range(state_, key);
    if (state_.format() < config::kRangeFormat || !range || range->size < 2) return false;
    // One that is itself to take the place of another, in the same transaction, does not go first.
    const auto original = replacements_.original_of(key);
    const auto parts = split_range(*job, *range, limits_.state.value_bytes());
    const auto writes = replacements_.parts_of(original).size() + parts.size() + 1;
    if (writes > limits_.state.txn_ops()) return false;
    auto& dirty = state_.dirty();
    const auto* found = dirty.find(key);
    const auto waiting = found ? *found : DirtyRecord{0, 0, CommitUrgency::batched, context_.now()};
    replacements_.replace(original, key, parts);
    replace_range(*job, key, parts);
    for (const auto& part : parts) dirty.mark_in_place_of(waiting, part.key);
    if (key != original) {
        dirty.erase(key);
    } else {
        dirty.mark(original, waiting.urgency);
    }
    context_.log(sansio::LogLevel::info, "event=record_split key={} parts={}", key, parts.size());
    split_any_ = true;
    return true;
}

// What cannot be recorded is not done: placements that make the record too large wait again.
void TransactionBuilder::postpone_placements(const std::string& key,
                                             std::optional<Record>& record) {
    const auto [job, range] = find_recorded_range(state_, key);
    const auto limit = limits_.state.value_bytes_now(limits_.lowered);
    while (range && record && record->json_size > limit) {
        std::vector<Placement*> open;
        for (auto i = range->from; i < range->from + range->size; ++i) {
            auto* placement = job->tasks[i].at;
            if (placement && !placement->committed && !placement->in_commit) {
                open.push_back(placement);
            }
        }
        if (open.empty()) break;
        const auto half = (open.size() + 1) / 2;
        for (std::size_t i = 0; i < half; ++i) {
            state_.remove(*open[i]->machine, {job->sequence, open[i]->index});
        }
        job->backoff_until = context_.now() + kPostponed;
        record = encode_progress(*job, *range);
    }
}

// All records that take the original's place, or none.
bool TransactionBuilder::add_replacement(const std::string& original) {
    const auto parts = replacements_.parts_of(original);
    std::size_t bytes = size_in_transaction(original, std::nullopt);
    for (const auto& key : parts) {
        const auto record = encode_record(key);
        if (record) bytes += size_in_transaction(key, record);
    }
    const auto writes = parts.size() + 1;
    const bool fits = commit_.writes.size() + writes <= limits_.writes &&
                      commit_.bytes + bytes <= kTransactionBytes;
    if (!fits) {
        if (commit_.writes.empty()) writes_needed_ = writes;
        return false;
    }
    commit_.originals.push_back(original);
    for (const auto& key : parts) add_record(key, encode_record(key));
    add_record(original, std::nullopt);
    return true;
}

// Whether the record holds placements that are not committed; they count as being committed with
// the transaction.
bool TransactionBuilder::records_new_placements(const std::string& key) {
    const auto [job, range] = find_recorded_range(state_, key);
    const auto before = placements_.size();
    for (auto i = range->from; i < range->from + range->size; ++i) {
        auto* placement = job->tasks[i].at;
        if (placement && !placement->committed) placements_.push_back(placement);
    }
    return placements_.size() > before;
}

// The job must not have ended.
void TransactionBuilder::add_precondition_on_end(const std::string& key) {
    if (ends_.insert(key).second) commit_.preconditions.push_back({key, KeyRevision()});
}

void TransactionBuilder::add_record(const std::string& key, std::optional<Record> record) {
    const auto& stored = state_.stored();
    // Placements may only be recorded for jobs without an end, and ends only once.
    if (key.starts_with(kTerminalPrefix)) {
        add_precondition_on_end(key);
    } else if (key.starts_with(kProgressPrefix) && record && records_new_placements(key)) {
        add_precondition_on_end(kv::terminal_key(find_recorded_range(state_, key).job->spec.id));
    }
    if (!key.starts_with(kTerminalPrefix))
        commit_.preconditions.push_back({key, stored.revision(key)});
    commit_.bytes += size_in_transaction(key, record);
    commit_.keys.push_back({key, record.has_value()});
    if (!record && !stored.contains(key)) return;  // nothing is there to be removed
    auto value = record ? std::optional(std::move(record->packed)) : std::nullopt;
    commit_.writes.push_back({key, std::move(value), std::nullopt});
}

StateTransaction TransactionBuilder::take() {
    for (auto* placement : placements_) placement->in_commit = true;
    return std::move(commit_);
}

}  // namespace dunebridge::state
