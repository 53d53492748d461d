/// \file
/// Commits changes of the cluster state to the key-value store, one transaction at a time.
///
/// Every transaction is a compare-and-swap that holds only while this node leads. One without an
/// answer is sent again until its outcome is known (state/retried_transaction.hpp). What users wait
/// for (terminal records) and what lets tasks start (placements, scale-out requests) is committed
/// at once; what is proved done or gone follows at a fixed cadence.
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

    /// Forgets the transaction under way: another term begins, or this node is no longer leader.
    void reset();
    /// Sends the next transaction if there is something to commit and none is under way; else asks
    /// to be woken when one may be sent.
    void flush();

  private:
    bool may_send() const;
    TransactionLimits transaction_limits();
    void build_and_send(const std::vector<std::string>& due_keys);
    void send_later(const TransactionBuilder& builder);
    void send(StateTransaction transaction);

    void handle_outcome(const StateTransaction& transaction, const kv::TransactionResult& result);
    void handle_committed(const StateTransaction& transaction, KeyRevision revision);
    void handle_committed_progress(const std::string& key);
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
    /// The key-value store has refused a value that it accepted before: its limit is lower now.
    bool value_limit_reduced_ = false;
    Instant next_send_at_{};
};

}  // namespace dunebridge::state
