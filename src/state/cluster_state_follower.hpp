/// \file
/// Follows what other nodes write while this node leads: new jobs, and cancellations.
#pragma once

#include <cstdint>

#include "config/config.hpp"
#include "coordination/election.hpp"
#include "kv/client.hpp"
#include "sansio/context.hpp"
#include "state/cluster_state.hpp"

namespace dunebridge::state {

/// Keeps watches on the key-value store, one after the other, and applies their changes to the
/// cluster state. Called on the controller's thread only. The watches end by themselves with the
/// term in which they were started.
class ClusterStateFollower {
  public:
    /// All references must outlive the follower.
    ClusterStateFollower(sansio::Context& context, kv::KvClient& kv_client,
                         coordination::Election& election, ClusterState& cluster_state,
                         const config::Config& config);

    /// Applies all changes after the revision. The cluster state must be loaded, and hold every
    /// terminal record that was committed before `terminal_records_read_at`.
    void start(KeyRevision from, Instant terminal_records_read_at);

    /// Every terminal record that was committed before this moment is known. How long ago that is
    /// bounds for how long leases may be renewed (LeadershipGuard::may_renew_leases).
    Instant terminal_records_read_at() const { return terminal_records_read_at_; }

  private:
    enum class WatchedRecords : std::uint8_t { jobs, terminal_records };

    void watch(WatchedRecords records, KeyRevision from);
    void watch_after(Millis delay, WatchedRecords records, KeyRevision from);
    Millis longest_wait(WatchedRecords records) const;
    void apply_change(WatchedRecords records, const kv::WatchEvent& change);
    void add_new_job(const kv::WatchEvent& change);
    void apply_terminal_record(const kv::WatchEvent& change);
    void read_dependencies(const JobId& id);
    void apply_dependencies(Job& job, const kv::ListResult& records);

    sansio::Context& context_;
    kv::KvClient& kv_client_;
    coordination::Election& election_;
    ClusterState& state_;
    const config::Config& config_;
    Instant terminal_records_read_at_{};
};

}  // namespace dunebridge::state
