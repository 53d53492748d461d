/// \file
/// Applies the changes that other nodes write while this node leads: new jobs and cancellations.
#pragma once

#include <cstdint>

#include "config/config.hpp"
#include "coordination/election.hpp"
#include "kv/client.hpp"
#include "sansio/context.hpp"
#include "state/cluster_state.hpp"

namespace dunebridge::state {

/// Watches the job records and the terminal records in the key-value store, and applies their
/// changes to the cluster state. Used on the controller's thread only. The watches end when the
/// term in which they were started ends.
class ClusterStateFollower {
  public:
    /// All references must outlive the follower.
    ClusterStateFollower(sansio::Context& context, kv::KvClient& kv_client,
                         coordination::Election& election, ClusterState& cluster_state,
                         const config::Config& config);

    /// Starts to apply all changes after the revision `from`. The cluster state must be loaded and
    /// reflect every terminal record that was committed before `terminal_records_read_at`.
    void start(KeyRevision from, Instant terminal_records_read_at);

    /// Every terminal record that was committed before this time is known. The age of this time
    /// limits how long leases may be renewed (LeadershipGuard::may_renew_leases).
    Instant terminal_records_read_at() const { return terminal_records_read_at_; }

  private:
    /// The key prefixes that are watched.
    enum class WatchedRecords : std::uint8_t { jobs, terminal_records };

    void watch(WatchedRecords records, KeyRevision from);
    void watch_after(Millis delay, WatchedRecords records, KeyRevision from);
    Millis watch_timeout(WatchedRecords records) const;
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
