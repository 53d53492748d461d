/// \file
/// Builds one compare-and-swap transaction from the records of the cluster state that are due.
///
/// Every record that it writes is guarded by the revision at which this leader left it, so that a
/// copy of the transaction that arrives late cannot put an older record over a newer one. A
/// progress record that no longer fits the limits of the key-value store is split. Placements that
/// cannot be recorded are undone: nothing may start that is not on record.
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

/// A compare-and-swap transaction, and what of the cluster state it commits.
struct StateTransaction {
    /// A record that is written or removed.
    struct RecordChange {
        std::string key;
        bool removed = false;
    };

    Version state_version = 0;  ///< Of the cluster state when the transaction was built.
    std::vector<RecordChange> changes;
    std::vector<wire::Precondition> preconditions;  ///< The first is the one on the leader key.
    std::vector<wire::Write> writes;
    std::vector<std::string> split_records;  ///< Keys of records that their parts replace.
    std::size_t bytes = 0;                   ///< Estimate of the encoded size.
};

/// The limits of a transaction at the time when it is built.
struct TransactionLimits {
    std::size_t max_writes = 0;  ///< What the transaction limit and the write budget allow.
    config::KvLimits kv;
    /// The key-value store has refused a value that it accepted before: its limit is lower now.
    bool value_limit_reduced = false;

    /// Size of the largest value that is accepted now, as far as is known.
    std::size_t max_value_bytes() const { return kv.value_bytes_now(value_limit_reduced); }
};

/// Collects records, in the order of their urgency, until the transaction is full.
///
/// Lives for one transaction, on the controller's thread. Splitting a record and undoing placements
/// change the cluster state at once, also if the transaction is never sent.
class TransactionBuilder {
  public:
    /// Whether more records may be added.
    enum class AddResult : std::uint8_t {
        handled,          ///< Added, already part of the transaction, or not to be written now.
        transaction_full  ///< Not added: there is no room for it.
    };

    /// `leader_precondition` holds as long as this node leads. All references must outlive the
    /// builder.
    TransactionBuilder(sansio::Context& context, ClusterState& cluster_state,
                       PendingSplits& pending_splits, TransactionLimits limits,
                       wire::Precondition leader_precondition);

    /// Adds the changes of the record with this key.
    AddResult add(const std::string& key);
    /// The transaction. The placements that it records count as being committed from here on.
    StateTransaction take();

    bool empty() const { return transaction_.writes.empty(); }
    /// If not 0, the parts of a split record need a budget of so many writes at once, which is more
    /// than this transaction was allowed.
    std::size_t writes_needed() const { return writes_needed_; }
    /// Whether a record was split: its parts are due at once.
    bool has_split_a_record() const { return has_split_a_record_; }

  private:
    // A record as the cluster state has it now.
    struct Record {
        std::string key;
        JobTaskRange tasks;                     // of a progress record; empty for all others
        std::optional<kv::PackedRecord> value;  // none: the record is to be removed

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
    std::set<std::string> guarded_terminal_keys_;  ///< Keys with a precondition in transaction_.
    std::vector<Placement*> new_placements_;       ///< Those that transaction_ records.
    std::size_t writes_needed_ = 0;
    bool has_split_a_record_ = false;
};

/// The terminal phase that this leader commits for a job that is finishing.
wire::JobPhase terminal_phase(const Job& job);

}  // namespace dunebridge::state
