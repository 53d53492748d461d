/// \file
/// Decides which commands a worker gets.
#pragma once

#include <vector>

#include "coordination/election.hpp"
#include "state/cluster_state.hpp"
#include "state/machine.hpp"
#include "wire/worker_messages.hpp"
#include "workers/exchange_kind.hpp"

namespace dunebridge::workers {

/// Builds the commands for a worker from its machine's placements and from the exited and
/// unrecorded tasks that it has listed.
///
/// A direct command without an answer may be executed minutes later, and one that was executed may
/// be repeated late by the network. A higher fencing token, once the worker has seen it, shuts both
/// out. The token is raised where a repeat could start an attempt once more that the worker has
/// forgotten.
class CommandBuilder {
  public:
    CommandBuilder(const coordination::Election& election, const state::ClusterState& cluster_state)
        : election_(election), state_(cluster_state) {}

    /// The commands for the worker now. Tasks that they start count as sent; the machine's fence
    /// counter may be raised, so that the token must be made after the call.
    std::vector<wire::TaskCommand> build(state::Machine& machine, ExchangeKind exchange) const;

  private:
    bool append_clear_commands(const state::Machine& machine,
                               std::vector<wire::TaskCommand>& commands) const;

    const coordination::Election& election_;
    const state::ClusterState& state_;
};

}  // namespace dunebridge::workers
