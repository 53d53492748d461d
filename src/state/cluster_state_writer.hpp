/// \file
/// Commits changes of the cluster state to the key-value store, one transaction at a time.
///
/// Every transaction is a compare-and-swap that can only be applied while this node leads. One
/// without a response is sent again until its outcome is known (state/retried_transaction.hpp).
/// Changes that users wait for (terminal records) or that let something start (placements,
/// scale-out requests) are committed at once, all others after a fixed delay.
#pragma once

#include <string>
#include <vector>

#include "base/token_bucket.hpp"
#include "config/config.hpp"
#include "coordination/election.hpp"
#include "kv/client.hpp"
#include "sansio/context.hpp"
#include "state/cluster_state.hpp"
#include "state/pending_splits.hpp"
#include "state/retried_transaction.hpp"
#include "state/transaction_builder.hpp"

namespace dunebridge::state {

/// Writes the dirty records of the cluster state. Called on the controller's thread only.
class ClusterStateWriter {
  public:
    /// All references must outlive the writer.
    ClusterStateWriter(sansio::Context& context, kv::KvClient& kv_client,
                       coordination::Election& election, ClusterState& cluster_state,
                       const config::Config& config);

    /// Abandons the transaction in progress. To be called when a term begins or ends.
    void reset();
    /// Sends the next transaction if there is something to commit and no transaction is in
    /// progress. If the transaction has to wait for the send interval, the write budget or the
    /// delay of batched changes, asks to be woken when it may be sent.
    void flush();

  private:
    bool may_send() const;
    TransactionLimits transaction_limits();
    void build_and_send(const std::vector<std::string>& due_keys);
    void schedule_next_send(const TransactionBuilder& builder);
    void send(StateTransaction transaction);

    void handle_outcome(const StateTransaction& transaction, const kv::TransactionResult& result);
    void handle_committed(const StateTransaction& transaction, KeyRevision revision);
    void handle_committed_progress_record(const std::string& key);
    void handle_committed_terminal_record(const JobId& id);
    void handle_not_committed(const StateTransaction& transaction,
                              const kv::TransactionResult& result);
    void handle_conflict(const kv::TransactionResult& result);
    bool apply_cancellations(const std::vector<std::string>& failed_keys);
    void handle_too_large(const StateTransaction& transaction);

    sansio::Context& context_;
    coordination::Election& election_;
    ClusterState& state_;
    const config::Config& config_;
    TokenBucket write_budget_;
    RetriedTransaction retried_transaction_;
    PendingSplits pending_splits_;
    /// The key-value store has rejected a transaction as too large: its limit on the size of a
    /// value is taken to have been lowered.
    bool value_limit_reduced_ = false;
    Instant next_send_at_{};
};

}  // namespace dunebridge::state
