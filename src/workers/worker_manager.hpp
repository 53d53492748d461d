/// \file
/// The leader's side of the workers: answers their heartbeats and sends them commands.
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

/// Handles all that passes between the leader and the workers. Used on the leader only, once its
/// cluster state is loaded.
///
/// A placement leaves the cluster state only once it is proved that its task is not on the machine,
/// by one of these:
///  - a heartbeat of the worker (Reconciler);
///  - the end of the worker's lease (WorkerLeases);
///  - the cloud, which reports the machine as failed or confirms its deletion (src/provisioning).
/// Silence, a refused connection and a row missing from the cloud's machine list prove nothing.
class WorkerManager {
  public:
    WorkerManager(sansio::Context& context, coordination::Election& election,
                  state::ClusterState& cluster_state, const state::WorkerLiveness& liveness,
                  const state::ReleasedMachines& released_machines, const config::Config& config,
                  OnTaskCompleted on_task_completed);

    /// Answers a heartbeat that a worker has sent. The reply carries its commands and renews its
    /// lease.
    void handle_heartbeat(RequestId id, const wire::WorkerHeartbeat& heartbeat);
    /// Looks after leases now and then, and sends the direct commands that have been requested.
    void tick();
    /// To be called when a term begins.
    void reset();

  private:
    state::Machine* find_or_add_machine(RequestId id, const wire::WorkerHeartbeat& heartbeat);
    bool introduce_token(RequestId id, const wire::WorkerHeartbeat& heartbeat);
    void count_unacknowledged(state::Machine& machine) const;
    FencingToken token_of(const state::Machine& machine) const;
    void check_machines();

    sansio::Context& context_;
    coordination::Election& election_;
    state::ClusterState& state_;
    const state::ReleasedMachines& released_machines_;
    WorkerLeases leases_;
    HeartbeatProcessor heartbeat_processor_;
    CommandDispatcher command_dispatcher_;
    /// Workers that no record names and that have been given the token, with the time of that.
    std::map<MachineName, Instant> unknown_workers_;
    Instant next_check_{};
};

}  // namespace dunebridge::workers
