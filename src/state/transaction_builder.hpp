// Builds one ledger transaction from records that are due.
//
// Every record that it writes is guarded at the revision at which it was left, so that a copy of
// the transaction that comes late cannot put an older record over a newer one. A progress record
// that no longer fits the state service's limits is split, and what cannot be recorded is not done.
#pragma once

#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "config/kv_limits.hpp"
#include "kv/records.hpp"
#include "sansio/context.hpp"
#include "state/cluster_state.hpp"
#include "state/model.hpp"
#include "state/record_replacements.hpp"
#include "wire/messages.hpp"

namespace dunebridge::state {

// A ledger transaction and what it commits.
struct StateTransaction {
    struct WrittenKey {
        std::string key;
        bool set = false;  // else removed
    };

    Version version = 0;  // of the ledger when it was built
    std::vector<WrittenKey> keys;
    std::vector<wire::Precondition> preconditions;
    std::vector<wire::Write> writes;
    std::vector<std::string> originals;  // records that others take the place of
    std::size_t bytes = 0;
};

// What bounds a transaction at the time.
struct TransactionLimits {
    std::size_t writes = 0;
    config::KvLimits state;
    bool lowered = false;  // the state service has refused a value that fitted before
};

class TransactionBuilder {
  public:
    TransactionBuilder(sansio::Context& port, ClusterState& cluster_state,
                       RecordReplacements& replacements, TransactionLimits limits,
                       wire::Precondition leads);

    // Adds the record's changes; false if there is no more room in the transaction.
    bool add(const std::string& key);
    // The transaction; the placements that it records count as being committed.
    StateTransaction take();

    bool empty() const { return commit_.writes.empty(); }
    // So many writes must be allowed first; 0: enough are.
    std::size_t writes_needed() const { return writes_needed_; }
    // Some record has been split: the parts are due.
    bool split_any() const { return split_any_; }

  private:
    using Record = kv::PackedRecord;

    std::optional<Record> encode_record(const std::string& key);
    std::size_t value_limit() const;
    bool fit_to_limit(const std::string& key, std::optional<Record>& record);
    bool split(const std::string& key);
    void postpone_placements(const std::string& key, std::optional<Record>& record);
    bool add_replacement(const std::string& original);
    void add_record(const std::string& key, std::optional<Record> record);
    void add_precondition_on_end(const std::string& key);
    bool records_new_placements(const std::string& key);

    sansio::Context& context_;
    ClusterState& state_;
    RecordReplacements& replacements_;
    const TransactionLimits limits_;
    StateTransaction commit_;
    std::set<std::string> ends_;  // keys of ends that preconditions are on
    std::vector<Placement*> placements_;
    std::size_t writes_needed_ = 0;
    bool split_any_ = false;
};

// The job and the range of its tasks whose progress record that is; null once the job is
// forgotten, or the range split.
struct RecordedRange {
    Job* job = nullptr;
    const TaskRange* range = nullptr;
};
RecordedRange find_recorded_range(ClusterState& cluster_state, const std::string& progress_key);

// How a job ends whose end this leader commits.
wire::JobPhase end_of(const Job& job);

}  // namespace dunebridge::state
