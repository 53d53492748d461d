/// \file
/// The leader's view of the leases under which workers run tasks.
#pragma once

#include "config/config.hpp"
#include "coordination/election.hpp"
#include "sansio/context.hpp"
#include "state/cluster_state.hpp"
#include "state/worker_liveness.hpp"
#include "wire/worker_messages.hpp"

namespace dunebridge::workers {

/// Tracks the workers' leases and removes the placements on machines whose lease has expired.
///
/// A worker kills its tasks when its lease expires, and only replies to its heartbeats renew the
/// lease. A silent machine therefore runs no tasks once the lease duration, with an allowance for
/// clock drift, has passed since this leader's last reply. This is proof only if no earlier leader
/// can have renewed the lease since then: the worker must have sent a token of this term.
class WorkerLeases {
  public:
    WorkerLeases(sansio::Context& context, const coordination::Election& election,
                 state::ClusterState& cluster_state, const state::WorkerLiveness& liveness,
                 const config::Config& config)
        : context_(context),
          election_(election),
          state_(cluster_state),
          liveness_(liveness),
          config_(config) {}

    /// Records a lease that began or may have been renewed before this heartbeat. Must be called
    /// before the heartbeat is applied to the machine's worker status, with which it is compared.
    void observe_heartbeat(state::Machine& machine, const wire::WorkerHeartbeat& heartbeat) const;
    /// Records that a reply to the worker's heartbeat renews the lease now.
    void renew(state::Machine& machine) const;
    /// Removes the machine's committed placements if its lease has expired.
    void remove_expired_placements(state::Machine& machine);

  private:
    bool has_expired(const state::Machine& machine) const;

    sansio::Context& context_;
    const coordination::Election& election_;
    state::ClusterState& state_;
    const state::WorkerLiveness& liveness_;
    const config::Config& config_;
};

}  // namespace dunebridge::workers
