/// \file
/// The leader's communication with workers: heartbeats and commands.
#pragma once

#include <map>
#include <string_view>

#include "config/config.hpp"
#include "coordination/election.hpp"
#include "sansio/context.hpp"
#include "state/cluster_state.hpp"
#include "state/released_machines.hpp"
#include "state/worker_liveness.hpp"
#include "wire/worker_messages.hpp"
#include "workers/command_dispatcher.hpp"
#include "workers/heartbeat_processor.hpp"
#include "workers/worker_leases.hpp"

namespace dunebridge::workers {

/// Handles all communication between the leader and the workers. Used only on the leader, once its
/// cluster state is loaded.
///
/// A placement is removed from the cluster state only once there is proof that its task is not on
/// the machine, by one of these:
///  - a heartbeat of the worker (Reconciler);
///  - the end of the worker's lease (WorkerLeases);
///  - the cloud, which reports the machine as failed or confirms its deletion (src/provisioning).
/// A worker's silence, a refused connection or a row missing from the cloud's machine list is not
/// proof. The objects passed to the constructor must outlive the manager.
class WorkerManager {
  public:
    WorkerManager(sansio::Context& context, coordination::Election& election,
                  state::ClusterState& cluster_state, const state::WorkerLiveness& liveness,
                  const state::ReleasedMachines& released_machines, const config::Config& config,
                  OnTaskCompleted on_task_completed);

    /// Answers a worker's heartbeat request. The reply carries the worker's commands and renews its
    /// lease, unless the heartbeat is refused.
    void handle_heartbeat(RequestId id, const wire::WorkerHeartbeat& heartbeat);
    /// Periodically removes placements of expired leases, and sends the direct commands that have
    /// been requested.
    void tick();
    /// Forgets the unknown workers. Must be called when a term begins.
    void reset();

  private:
    state::Machine* find_or_add_machine(RequestId id, const wire::WorkerHeartbeat& heartbeat);
    bool answer_unknown_worker(RequestId id, const wire::WorkerHeartbeat& heartbeat);
    void count_unacknowledged_reply(state::Machine& machine) const;
    FencingToken fencing_token(const state::Machine& machine) const;
    void check_machines();

    sansio::Context& context_;
    coordination::Election& election_;
    state::ClusterState& state_;
    const state::ReleasedMachines& released_machines_;
    WorkerLeases leases_;
    HeartbeatProcessor heartbeat_processor_;
    CommandDispatcher command_dispatcher_;
    /// Workers that are not in the cluster state and have been sent a token of this term, with the
    /// time of the first such reply.
    std::map<MachineName, Instant> unknown_workers_;
    Instant next_check_{};
};

}  // namespace dunebridge::workers
