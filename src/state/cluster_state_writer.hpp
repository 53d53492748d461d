// Commits what has changed in the ledger: transactions that guard the leader key, one at a time.
//
// A transaction that gets no answer is sent again until its outcome is known
// (state/retried_transaction.hpp). What users wait for (ends) and what lets tasks start
// (placements, rental requests) is committed at once; what is proved done or gone follows at a
// fixed cadence.
#pragma once

#include "base/token_bucket.hpp"
#include "config/config.hpp"
#include "coordination/election.hpp"
#include "kv/client.hpp"
#include "sansio/context.hpp"
#include "state/cluster_state.hpp"
#include "state/record_replacements.hpp"
#include "state/retried_transaction.hpp"
#include "state/transaction_builder.hpp"

namespace dunebridge::state {

class ClusterStateWriter {
  public:
    ClusterStateWriter(sansio::Context& port, kv::KvClient& store, coordination::Election& election,
                       ClusterState& cluster_state, const config::Config& config);

    // Another term begins, or this node leads no more: the transaction under way is forgotten.
    void reset();
    // Sends the next transaction if there is something to commit and none is under way.
    void flush();

  private:
    void send(StateTransaction commit, double budget);
    void finish(const StateTransaction& commit, const kv::TransactionResult& result);
    void applied(const StateTransaction& commit, KeyRevision revision);
    void progress_committed(const std::string& key);
    void end_committed(const JobId& id);
    void conflict(const kv::TransactionResult& result);
    void refused_as_too_large(const StateTransaction& commit);

    sansio::Context& context_;
    coordination::Election& election_;
    ClusterState& state_;
    const config::Config& config_;
    TokenBucket writes_;
    RetriedTransaction transaction_;
    RecordReplacements replacements_;
    bool limits_lowered_ = false;  // the state service has refused a value that fitted before
    Instant next_commit_{};
};

}  // namespace dunebridge::state
