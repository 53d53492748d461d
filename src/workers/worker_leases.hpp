/// \file
/// The leases under which workers run tasks, as far as the leader can know them.
#pragma once

#include "config/config.hpp"
#include "coordination/election.hpp"
#include "sansio/context.hpp"
#include "state/cluster_state.hpp"
#include "state/worker_liveness.hpp"
#include "wire/worker_messages.hpp"

namespace dunebridge::workers {

/// Follows the workers' leases and removes the placements of those that have expired.
///
/// A worker kills its tasks when its lease expires, and only replies to its heartbeats renew the
/// lease. A machine that is silent therefore holds no task any more once the lease, with an
/// allowance for clocks that drift, has passed since this leader's last reply. That is proof only
/// if no earlier leader can have renewed it since: the worker must have shown a token of this term.
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

    /// Takes note of leases that began or were renewed before this heartbeat. To be called before
    /// the heartbeat is entered in the machine's worker status, with which it is compared.
    void observe(state::Machine& machine, const wire::WorkerHeartbeat& heartbeat) const;
    /// Takes note of a reply to the worker's heartbeat, which renews the lease.
    void renew(state::Machine& machine) const;
    /// Removes the placements of a machine whose lease has expired.
    void expire(state::Machine& machine);

  private:
    bool has_expired(const state::Machine& machine) const;

    sansio::Context& context_;
    const coordination::Election& election_;
    state::ClusterState& state_;
    const state::WorkerLiveness& liveness_;
    const config::Config& config_;
};

}  // namespace dunebridge::workers
