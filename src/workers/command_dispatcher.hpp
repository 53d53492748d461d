/// \file
/// Sends direct commands to workers where the reply to the next heartbeat would be too late.
#pragma once

#include <cstddef>
#include <vector>

#include "config/config.hpp"
#include "coordination/election.hpp"
#include "sansio/context.hpp"
#include "state/cluster_state.hpp"
#include "state/machine.hpp"
#include "wire/worker_messages.hpp"
#include "workers/command_builder.hpp"
#include "workers/heartbeat_processor.hpp"
#include "workers/worker_client.hpp"

namespace dunebridge::workers {

/// Delivers commands: in replies to heartbeats, and in direct commands of which one at a time is in
/// flight to each machine, and as many in all as the sockets allow.
class CommandDispatcher {
  public:
    CommandDispatcher(sansio::Context& context, coordination::Election& election,
                      state::ClusterState& cluster_state, const config::Config& config,
                      HeartbeatProcessor& heartbeat_processor);

    /// Sends direct commands to the machines for which commands have been requested.
    void tick();
    /// The commands for the reply to the worker's heartbeat. Tasks that they start count as sent.
    std::vector<wire::TaskCommand> commands_for_reply(state::Machine& machine) const;

  private:
    void dispatch(state::Machine& machine);
    void send(state::Machine& machine);
    void handle_result(const MachineName& host, const CommandResult& result);

    sansio::Context& context_;
    coordination::Election& election_;
    state::ClusterState& state_;
    HeartbeatProcessor& heartbeat_processor_;
    CommandBuilder command_builder_;
    WorkerClient client_;
    std::size_t in_flight_ = 0;
    std::size_t max_in_flight_;
};

}  // namespace dunebridge::workers
