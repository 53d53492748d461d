/// \file
/// Delivery of commands to workers, in heartbeat replies and in direct commands.
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

/// Delivers commands to workers: in replies to heartbeats, and in direct commands where the reply
/// to the next heartbeat would be too late.
///
/// At most one direct command is in flight to each machine, and in total as many as the socket
/// budget allows. The objects passed to the constructor must outlive the dispatcher.
class CommandDispatcher {
  public:
    CommandDispatcher(sansio::Context& context, coordination::Election& election,
                      state::ClusterState& cluster_state, const config::Config& config,
                      HeartbeatProcessor& heartbeat_processor);

    /// Sends direct commands to the machines for which they have been requested.
    void tick();
    /// Returns the commands for the reply to the worker's heartbeat. Marks the start commands among
    /// them as sent.
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
