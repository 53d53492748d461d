/// \file
/// Selection of the commands that a worker receives.
#pragma once

#include <vector>

#include "coordination/election.hpp"
#include "state/cluster_state.hpp"
#include "state/machine.hpp"
#include "wire/worker_messages.hpp"
#include "workers/exchange_kind.hpp"

namespace dunebridge::workers {

/// Builds the commands for a worker from the placements on its machine and from the exited and
/// unrecorded tasks that the worker has listed.
///
/// A direct command that was not answered may be executed minutes later, and the network may
/// deliver a late duplicate of one that was executed. Once the worker has seen a higher fencing
/// token, it refuses both. The token is therefore raised where a duplicate could restart an attempt
/// that the worker has forgotten.
class CommandBuilder {
  public:
    CommandBuilder(const coordination::Election& election, const state::ClusterState& cluster_state)
        : election_(election), state_(cluster_state) {}

    /// Returns the commands to send to the worker now; empty if there are none. Marks the start
    /// commands among them as sent. May raise the machine's fence counter, so the caller must
    /// create the fencing token after the call.
    std::vector<wire::TaskCommand> build(state::Machine& machine, ExchangeKind exchange) const;

  private:
    bool append_clear_commands(const state::Machine& machine,
                               std::vector<wire::TaskCommand>& commands) const;

    const coordination::Election& election_;
    const state::ClusterState& state_;
};

}  // namespace dunebridge::workers
