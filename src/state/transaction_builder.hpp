/// \file
/// Builds one compare-and-swap transaction from the records of the cluster state that are due.
///
/// For every record that it writes, the transaction requires the revision at which this leader left
/// the record, so that a copy of the transaction that arrives late cannot overwrite a newer
/// version. A progress record that exceeds the limits of the key-value store is split. Placements
/// that cannot be recorded are undone, because a task may only start once its placement is
/// recorded.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "config/kv_limits.hpp"
#include "kv/records.hpp"
#include "sansio/context.hpp"
#include "state/cluster_state.hpp"
#include "state/job.hpp"
#include "state/pending_splits.hpp"
#include "state/placement.hpp"
#include "state/task_ranges.hpp"
#include "state/version.hpp"
#include "wire/messages.hpp"

namespace dunebridge::state {

/// A compare-and-swap transaction and the changes of the cluster state that it commits.
struct StateTransaction {
    /// A record that is written or removed.
    struct RecordChange {
        std::string key;
        bool removed = false;
    };

    Version state_version = 0;  ///< Version of the cluster state that it commits.
    std::vector<RecordChange> changes;
    std::vector<wire::Precondition> preconditions;  ///< The first is the one on the leader key.
    std::vector<wire::Write> writes;
    std::vector<std::string>
        split_records;      ///< Keys of the records that are replaced by their parts.
    std::size_t bytes = 0;  ///< Estimate of the encoded size.
};

/// Limits for a transaction, as of the time when it is built.
struct TransactionLimits {
    std::size_t max_writes = 0;  ///< The lower of the store's limit and the write budget.
    config::KvLimits kv;
    /// The key-value store has rejected a transaction as too large: its limit on the size of a
    /// value is taken to have been lowered.
    bool value_limit_reduced = false;

    /// Returns the size of the largest value that the store accepts now, as far as is known.
    std::size_t max_value_bytes() const { return kv.value_bytes_now(value_limit_reduced); }
};

/// Collects records until the transaction is full. The caller adds them in order of urgency.
///
/// Used for one transaction, on the controller's thread. Splitting a record and undoing placements
/// change the cluster state immediately, even if the transaction is never sent.
class TransactionBuilder {
  public:
    /// Result of adding a record.
    enum class AddResult : std::uint8_t {
        handled,          ///< Added, already part of the transaction, or not to be written now.
        transaction_full  ///< Not added, because it does not fit.
    };

    /// `leader_precondition` must hold only while this node leads. All references must outlive the
    /// builder.
    TransactionBuilder(sansio::Context& context, ClusterState& cluster_state,
                       PendingSplits& pending_splits, TransactionLimits limits,
                       wire::Precondition leader_precondition);

    /// Adds the changes of the record with this key.
    AddResult add(const std::string& key);
    /// Returns the transaction and marks the placements that it records as `in_transaction`.
    StateTransaction take();

    bool empty() const { return transaction_.writes.empty(); }
    /// Returns the number of writes that the parts of a split record need in one transaction, if
    /// that is more than this one may have; otherwise 0.
    std::size_t writes_needed() const { return writes_needed_; }
    /// Returns whether a record was split. Its parts are to be added to another transaction.
    bool did_split_record() const { return did_split_record_; }

  private:
    // A record with the value that the cluster state gives it now.
    struct Record {
        std::string key;
        JobTaskRange tasks;                     // set for progress records only
        std::optional<kv::PackedRecord> value;  // absent: the record is to be removed

        std::size_t bytes_in_transaction() const;
    };

    Record encode_record(const std::string& key) const;
    std::optional<kv::PackedRecord> encode_value(const std::string& key) const;

    bool has_added_parts_of(const std::string& split_record) const;
    AddResult add_parts_of(const std::string& split_record);
    bool has_room_for(const Record& record) const;
    void add_to_transaction(Record record);
    void add_preconditions(const Record& record);
    void require_open_job(const std::string& terminal_key);
    bool collect_new_placements(const Record& record);

    std::size_t split_threshold() const;
    bool split(const Record& record);
    void replace_by_parts(const Record& record, const std::string& split_record,
                          const std::vector<TaskRange>& parts);
    bool shrink_to_limit(Record& record);
    bool undo_half_of_new_placements(const JobTaskRange& tasks);

    sansio::Context& context_;
    ClusterState& state_;
    PendingSplits& pending_splits_;
    const TransactionLimits limits_;
    StateTransaction transaction_;
    std::set<std::string> guarded_terminal_keys_;  ///< Terminal keys that must be absent.
    std::vector<Placement*> new_placements_;       ///< Newly recorded by transaction_.
    std::size_t writes_needed_ = 0;
    bool did_split_record_ = false;
};

/// Returns the terminal phase that this leader commits for a finishing job.
wire::JobPhase terminal_phase(const Job& job);

}  // namespace dunebridge::state
