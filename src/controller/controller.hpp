/// \file
/// Owner of the whole state of a controller process. It handles commands in batches and returns
/// the resulting effects.
#pragma once

#include <cstdint>
#include <vector>

#include "api/job_service.hpp"
#include "config/config.hpp"
#include "controller/batch_order.hpp"
#include "controller/cancellation_broadcast.hpp"
#include "controller/heartbeat_relay.hpp"
#include "controller/leadership_guard.hpp"
#include "controller/peer_heartbeat_builder.hpp"
#include "controller/router.hpp"
#include "coordination/cancellation_log.hpp"
#include "coordination/election.hpp"
#include "coordination/peer_monitor.hpp"
#include "kv/client.hpp"
#include "provisioning/provisioner.hpp"
#include "sansio/context.hpp"
#include "scheduler/scheduler.hpp"
#include "state/cluster_state.hpp"
#include "state/cluster_state_follower.hpp"
#include "state/cluster_state_loader.hpp"
#include "state/cluster_state_writer.hpp"
#include "state/machine_type_catalog.hpp"
#include "state/released_machines.hpp"
#include "state/run_time_estimator.hpp"
#include "state/worker_liveness.hpp"
#include "workers/worker_manager.hpp"

namespace dunebridge::controller {

/// A controller without I/O: it is given the time and a random seed, and returns the calls,
/// responses and log lines for the I/O layer to carry out. Its parts share one Context and hold
/// references to each other, so it cannot be copied or moved. Not thread-safe: only one thread may
/// call it.
class Controller {
  public:
    /// `seed` initializes the random number generator; `level` is the most verbose level that is
    /// logged.
    Controller(config::Config config, std::uint64_t seed, sansio::LogLevel level);
    Controller(const Controller&) = delete;
    Controller& operator=(const Controller&) = delete;
    Controller(Controller&&) = delete;
    Controller& operator=(Controller&&) = delete;
    ~Controller() = default;

    /// Runs one step: handles the batch, performs the actions that are due at `now`, and returns
    /// the effects for the I/O layer to carry out. `now` must not decrease from one step to the
    /// next. `wall_ms` is the time in milliseconds since the Unix epoch.
    sansio::Effects apply(std::vector<Command>&& batch, Instant now, std::int64_t wall_ms);
    /// The latest moment for the next call of apply(), with an empty batch if there are no
    /// commands.
    Instant wake() const { return context_.wake(); }

    /// Whether this controller is the leader and has loaded the cluster state. Only then does it
    /// schedule tasks and change the cluster state.
    bool is_active_leader() const { return election_.is_leader() && state_.loaded(); }

  private:
    // Requests and call results.
    void handle(Command&& command);
    void handle_request(RequestId id, const SubmitJob& request);
    void handle_request(RequestId id, const PollJob& request);
    void handle_request(RequestId id, const CancelJob& request);
    void handle_request(RequestId id, const WorkerHeartbeatRequest& request);
    void handle_request(RequestId id, const ReadinessProbe& request);
    void handle_request(RequestId id, const PeerHeartbeatRequest& request);
    void handle_request(RequestId id, const sansio::Refusal& refusal);
    void handle_worker_heartbeat_as_leader(RequestId id, wire::Value body);
    bool ready() const;

    // Leadership.
    void update_election();
    void handle_leadership_change();
    void begin_term();
    void end_term();
    void complete_failover();

    // Work done only by the leader.
    void run_leader_tasks(bool maintenance);
    void schedule_if_due();
    bool maintenance_due();

    const config::Config config_;
    sansio::Context context_;
    kv::KvClient kv_client_;
    coordination::Election election_;
    coordination::CancellationLog cancellation_log_;
    coordination::PeerMonitor peer_monitor_;
    state::ClusterState state_;
    PeerHeartbeatBuilder peer_heartbeat_builder_;
    CancellationBroadcast cancellation_broadcast_;
    state::ClusterStateFollower follower_;
    state::ClusterStateLoader loader_;
    state::ClusterStateWriter writer_;
    state::MachineTypeCatalog machine_types_;
    state::RunTimeEstimator run_time_estimator_;
    state::WorkerLiveness worker_liveness_;
    state::ReleasedMachines released_machines_;
    workers::WorkerManager worker_manager_;
    provisioning::Provisioner provisioner_;
    scheduler::Scheduler scheduler_;
    api::JobService job_service_;
    LeadershipGuard leadership_guard_;
    HeartbeatRelay heartbeat_relay_;
    /// The election generation in which begin_term() was last run.
    std::uint64_t started_generation_ = 0;
    /// The election generation in which complete_failover() last took effect.
    std::uint64_t completed_failover_generation_ = 0;
    bool was_leader_ = false;  ///< At the last call of handle_leadership_change().
    Instant last_apply_at_{};
    Instant next_scheduling_at_{};
    Instant next_maintenance_at_{};
};

}  // namespace dunebridge::controller
