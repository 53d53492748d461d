/// \file
/// This controller's heartbeats to its peers, and what it keeps from them for a failover.
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
    PeerHeartbeatBuilder(const config::Config& config, const kv::KvClient& kv_client,
                         const coordination::Election& election,
                         coordination::CancellationLog& cancellation_log,
                         const coordination::PeerMonitor& peer_monitor,
                         state::ClusterState& cluster_state);

    /// The heartbeat to send now.
    coordination::PeerHeartbeat build();
    /// The newest record format that every controller has shown to know.
    std::uint64_t common_record_format() const;
    /// How far a job is: by the cluster state on the leader, else by the leader's heartbeats.
    /// Advice for display.
    coordination::JobProgress progress(const JobId& job);
    /// Marks the jobs that failed on every machine under the previous leader, so that they are not
    /// tried at full width once more. It is advice: a job that has recovered shows it with its
    /// first success.
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
    /// As of the latest heartbeat that this node built while it led.
    std::vector<JobId> own_faulty_jobs_;
};

}  // namespace dunebridge::controller
