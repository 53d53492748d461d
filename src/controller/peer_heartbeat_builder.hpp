/// \file
/// This controller's heartbeats to its peers, and the use of their contents after a failover.
#pragma once

#include <cstdint>
#include <vector>

#include "base/types.hpp"
#include "config/config.hpp"
#include "coordination/cancellation_log.hpp"
#include "coordination/election.hpp"
#include "coordination/peer_heartbeat.hpp"
#include "coordination/peer_monitor.hpp"
#include "kv/client.hpp"
#include "state/cluster_state.hpp"

namespace dunebridge::controller {

/// Builds the heartbeat that this controller sends to its peers.
class PeerHeartbeatBuilder {
  public:
    /// All references must outlive the builder.
    PeerHeartbeatBuilder(const config::Config& config, const kv::KvClient& kv_client,
                         const coordination::Election& election,
                         coordination::CancellationLog& cancellation_log,
                         const coordination::PeerMonitor& peer_monitor,
                         state::ClusterState& cluster_state);

    /// Returns a heartbeat with the current state.
    coordination::PeerHeartbeat build();
    /// The newest record format that every controller is known to support.
    std::uint64_t common_record_format() const;
    /// Progress of a job, zero if it is unknown: from the cluster state on the leader, otherwise
    /// from the leader's heartbeats. It may be out of date and is meant for display only.
    coordination::JobProgress progress(const JobId& job);
    /// Marks the jobs that failed on every machine under the previous leader, so that their tasks
    /// are not all tried again at once. The mark is only a hint: it is removed with the first
    /// success of a job that has recovered.
    void restore_faulty_jobs();

  private:
    bool is_active_leader() const { return election_.is_leader() && state_.loaded(); }
    std::vector<JobId> faulty_jobs() const;
    void mark_faulty(const std::vector<JobId>& jobs);

    const config::Config& config_;
    const kv::KvClient& kv_client_;
    const coordination::Election& election_;
    coordination::CancellationLog& cancellation_log_;
    const coordination::PeerMonitor& peer_monitor_;
    state::ClusterState& state_;
    /// From the latest heartbeat that this controller built as the leader.
    std::vector<JobId> own_faulty_jobs_;
};

}  // namespace dunebridge::controller
