// The leader's side of the workers: check-ins, leases, and which machines can be given work.
//
// A placement leaves the ledger only once it is proved gone, by any one of:
//  - a report (workers/heartbeat_processor.hpp);
//  - the end of the worker's lease, with drift, since the last reply, once the worker has itself
//    shown a token of this term, so that no earlier leader can have renewed it (expire_leases());
//  - the cloud, which reports the machine as failed or has confirmed its deletion (provisioning/).
// Silence, a refused connection and a row missing from the machine list prove nothing.
#pragma once

#include <functional>
#include <map>

#include "config/config.hpp"
#include "coordination/election.hpp"
#include "sansio/context.hpp"
#include "state/cluster_state.hpp"
#include "state/released_machines.hpp"
#include "state/worker_liveness.hpp"
#include "wire/messages.hpp"
#include "workers/command_dispatcher.hpp"
#include "workers/heartbeat_processor.hpp"

namespace dunebridge::workers {

class WorkerManager {
  public:
    WorkerManager(sansio::Context& context, coordination::Election& election,
                  state::ClusterState& cluster_state, const state::WorkerLiveness& liveness,
                  const state::ReleasedMachines& released_machines, const config::Config& config,
                  std::function<void(const CompletedTask&)> on_task_completed);

    // Answers a worker's report with its orders.
    void handle_heartbeat(RequestId id, const wire::WorkerHeartbeat& heartbeat);
    void tick();
    // Another term begins.
    void reset();

  private:
    state::Machine* find_or_add_machine(RequestId id, const wire::WorkerHeartbeat& heartbeat);
    bool answer_unknown_worker(RequestId id, const wire::WorkerHeartbeat& heartbeat);
    void count_unacknowledged(state::Machine& machine) const;
    void answer_unavailable(RequestId id, const char* why);
    FencingToken token(const state::Machine& machine) const;
    void check_machines();
    void expire_lease(state::Machine& machine);

    sansio::Context& context_;
    coordination::Election& election_;
    state::ClusterState& state_;
    const state::WorkerLiveness& liveness_;
    const state::ReleasedMachines& released_machines_;
    const config::Config& config_;
    HeartbeatProcessor heartbeat_processor_;
    CommandDispatcher command_dispatcher_;
    std::map<MachineName, Instant> unknown_workers_;  // and when they were first answered
    Instant next_check_{};
};

}  // namespace dunebridge::workers
