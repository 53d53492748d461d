#include "state/transaction_builder.hpp"

#include <algorithm>
#include <utility>

#include "config/record_format.hpp"
#include "kv/keys.hpp"
#include "state/record_codec.hpp"

namespace dunebridge::state {

using kv::kProgressPrefix;
using kv::kScaleOutPrefix;
using kv::kTerminalPrefix;
using kv::without_prefix;

namespace {
// Time for which a job gets no placements after one of its records was too large to hold more.
constexpr Millis kBackoffAfterUndo{2000};
// Largest estimated size of a transaction. The key-value store accepts 64 KiB.
constexpr std::size_t kMaxTransactionBytes = std::size_t{60} * 1024;
// Upper bound of what a record adds to a transaction in addition to its key and value.
constexpr std::size_t kRecordOverheadBytes = 192;
}  // namespace

wire::JobPhase terminal_phase(const Job& job) {
    return job.dependencies.cancelled ? wire::JobPhase::cancelled : wire::JobPhase::done;
}

std::size_t TransactionBuilder::Record::bytes_in_transaction() const {
    return kRecordOverheadBytes + key.size() + (value ? value->json_size : 0);
}

TransactionBuilder::TransactionBuilder(sansio::Context& context, ClusterState& cluster_state,
                                       PendingSplits& pending_splits, TransactionLimits limits,
                                       wire::Precondition leader_precondition)
    : context_(context), state_(cluster_state), pending_splits_(pending_splits), limits_(limits) {
    transaction_.state_version = cluster_state.version();
    transaction_.preconditions.push_back(std::move(leader_precondition));
}

// ---- encoding ----

TransactionBuilder::Record TransactionBuilder::encode_record(const std::string& key) const {
    Record record{key, {}, std::nullopt};
    if (!key.starts_with(kProgressPrefix)) {
        record.value = encode_value(key);
        return record;
    }
    record.tasks = find_task_range(state_.jobs(), key);
    if (record.tasks) record.value = encode_progress(*record.tasks.job, *record.tasks.range);
    return record;
}

// Returns the value of a record other than a progress record; nothing if it is to be removed.
std::optional<kv::PackedRecord> TransactionBuilder::encode_value(const std::string& key) const {
    // The key of the format mark also begins with the prefix of scale-out records, so it has to be
    // checked first.
    if (key == kv::kFormatMarkerKey) {
        if (state_.format() < config::kRangeFormat) return std::nullopt;
        return encode_format_mark(state_.format());
    }
    if (key.starts_with(kScaleOutPrefix)) {
        const auto it = state_.scale_outs().find(without_prefix(key, kScaleOutPrefix));
        if (it == state_.scale_outs().end()) return std::nullopt;
        return encode_scale_out(it->second);
    }
    if (key.starts_with(kTerminalPrefix)) {
        const auto* job = state_.find_job(JobId(without_prefix(key, kTerminalPrefix)));
        if (!job) return std::nullopt;
        return encode(
            kv::TerminalRecord{terminal_phase(*job), job->spec.task_count, context_.wall_ms()});
    }
    return std::nullopt;
}

// ---- adding records ----

TransactionBuilder::AddResult TransactionBuilder::add(const std::string& key) {
    const auto split_record = pending_splits_.split_record_of(key);
    const bool is_split = pending_splits_.is_split(split_record);
    if (is_split && has_added_parts_of(split_record)) return AddResult::handled;
    auto record = encode_record(key);
    if (!record.value && !state_.stored().contains(key) && !is_split) {
        state_.dirty().erase(key);
        return AddResult::handled;
    }
    if (record.value && record.value->json_size > split_threshold()) {
        if (split(record) || !shrink_to_limit(record)) return AddResult::handled;
    }
    if (is_split) return add_parts_of(split_record);
    if (!has_room_for(record)) return AddResult::transaction_full;
    add_to_transaction(std::move(record));
    return AddResult::handled;
}

bool TransactionBuilder::has_room_for(const Record& record) const {
    if (transaction_.writes.size() >= limits_.max_writes) return false;
    // The first record always fits: a transaction of one record is sent whatever its size.
    return transaction_.writes.empty() ||
           transaction_.bytes + record.bytes_in_transaction() <= kMaxTransactionBytes;
}

bool TransactionBuilder::has_added_parts_of(const std::string& split_record) const {
    const auto& added = transaction_.split_records;
    return std::find(added.begin(), added.end(), split_record) != added.end();
}

// Adds all parts of a split record and the removal of the record itself, or nothing.
TransactionBuilder::AddResult TransactionBuilder::add_parts_of(const std::string& split_record) {
    Record removal{split_record, {}, std::nullopt};
    std::size_t bytes = removal.bytes_in_transaction();
    std::vector<Record> records;
    for (const auto& key : pending_splits_.parts_of(split_record)) {
        records.push_back(encode_record(key));
        if (records.back().value) bytes += records.back().bytes_in_transaction();
    }
    records.push_back(std::move(removal));
    if (transaction_.writes.size() + records.size() > limits_.max_writes ||
        transaction_.bytes + bytes > kMaxTransactionBytes) {
        if (transaction_.writes.empty()) writes_needed_ = records.size();
        return AddResult::transaction_full;
    }
    transaction_.split_records.push_back(split_record);
    for (auto& record : records) add_to_transaction(std::move(record));
    return AddResult::handled;
}

void TransactionBuilder::add_to_transaction(Record record) {
    add_preconditions(record);
    transaction_.bytes += record.bytes_in_transaction();
    transaction_.changes.push_back({record.key, !record.value});
    if (!record.value && !state_.stored().contains(record.key)) return;  // not stored
    auto packed = record.value ? std::optional(std::move(record.value->packed)) : std::nullopt;
    transaction_.writes.push_back({std::move(record.key), std::move(packed), std::nullopt});
}

// For a terminal record, requires that none exists. For any other record, requires that the stored
// one is unchanged and, if the record holds new placements, that its job has no terminal record:
// placements may only be recorded for open jobs, and a job becomes terminal only once.
void TransactionBuilder::add_preconditions(const Record& record) {
    if (record.key.starts_with(kTerminalPrefix)) {
        require_open_job(record.key);
        return;
    }
    if (record.value && collect_new_placements(record)) {
        require_open_job(kv::terminal_key(record.tasks.job->spec.id));
    }
    transaction_.preconditions.push_back({record.key, state_.stored().revision(record.key)});
}

// Adds the precondition that the job has no terminal record.
void TransactionBuilder::require_open_job(const std::string& terminal_key) {
    if (guarded_terminal_keys_.insert(terminal_key).second) {
        transaction_.preconditions.push_back({terminal_key, KeyRevision()});
    }
}

// Collects the placements in the record that are not committed, for take(). Returns whether there
// are any.
bool TransactionBuilder::collect_new_placements(const Record& record) {
    const auto before = new_placements_.size();
    for_each_placement(record.tasks, [this](Placement& placement) {
        if (!placement.is_committed()) new_placements_.push_back(&placement);
    });
    return new_placements_.size() > before;
}

StateTransaction TransactionBuilder::take() {
    for (auto* placement : new_placements_) placement->commit = CommitState::in_transaction;
    return std::move(transaction_);
}

// ---- records that are too large ----

// Records of the chunk format cannot be split and may grow up to the limit that is active now.
// Those of the range format are split early enough to fit the lower limits that will apply later.
std::size_t TransactionBuilder::split_threshold() const {
    return state_.format() >= config::kRangeFormat ? limits_.kv.value_bytes()
                                                   : limits_.max_value_bytes();
}

// Divides a record's tasks among several records that fit the limit on values. Returns false if
// that is not possible.
bool TransactionBuilder::split(const Record& record) {
    const auto& [job, range] = record.tasks;
    if (state_.format() < config::kRangeFormat || !range || range->size < 2) return false;
    const auto parts = split_range(*job, *range, limits_.kv.value_bytes());
    // All parts must fit one transaction. If the record is itself an uncommitted part, that
    // includes the other parts of the record to which it belongs.
    const auto split_record = pending_splits_.split_record_of(record.key);
    const auto writes = pending_splits_.parts_of(split_record).size() + parts.size() + 1;
    if (writes > limits_.kv.txn_ops()) return false;
    replace_by_parts(record, split_record, parts);
    context_.log(sansio::LogLevel::info, "event=record_split key={} parts={}", record.key,
                 parts.size());
    did_split_record_ = true;
    return true;
}

void TransactionBuilder::replace_by_parts(const Record& record, const std::string& split_record,
                                          const std::vector<TaskRange>& parts) {
    auto& dirty = state_.dirty();
    const auto* found = dirty.find(record.key);
    const auto replaced =
        found ? *found : DirtyRecord{0, 0, CommitUrgency::batched, context_.now()};
    pending_splits_.add_split(split_record, record.key, parts);
    replace_range(*record.tasks.job, record.key, parts);
    for (const auto& part : parts) dirty.mark_replacement(replaced, part.key);
    if (record.key != split_record) {
        dirty.erase(record.key);
    } else {
        dirty.mark(split_record, replaced.urgency);
    }
}

// Undoes placements until the record fits the limit that is active now. Returns false if the record
// is still too large: the stored record then stays as it is, and the remaining changes are not
// acted on.
bool TransactionBuilder::shrink_to_limit(Record& record) {
    const auto limit = limits_.max_value_bytes();
    while (record.tasks && record.value->json_size > limit) {
        if (!undo_half_of_new_placements(record.tasks)) break;
        record.value = encode_progress(*record.tasks.job, *record.tasks.range);
    }
    if (record.value->json_size <= limit) return true;
    context_.log(sansio::LogLevel::error, "event=record_too_large key={} bytes={}", record.key,
                 record.value->json_size);
    return false;
}

// Undoes half of the uncommitted placements, rounded up, and makes their tasks pending again.
// Returns false if there are none to undo.
bool TransactionBuilder::undo_half_of_new_placements(const JobTaskRange& tasks) {
    std::vector<Placement*> undoable;
    for_each_placement(tasks, [&undoable](Placement& placement) {
        if (placement.commit == CommitState::uncommitted) undoable.push_back(&placement);
    });
    if (undoable.empty()) return false;
    undoable.resize((undoable.size() + 1) / 2);
    for (auto* placement : undoable) {
        state_.remove_placement(*placement->machine, {tasks.job->sequence, placement->index});
    }
    tasks.job->backoff.until = context_.now() + kBackoffAfterUndo;
    return true;
}

}  // namespace dunebridge::state
