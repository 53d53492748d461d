// Decides which orders a worker gets, and sends them as direct commands where check-ins would be
// too late.
//
// A direct command without an answer may be executed minutes later. A higher token, which the
// worker has seen, shuts it out.
#pragma once

#include <cstddef>
#include <vector>

#include "config/config.hpp"
#include "coordination/election.hpp"
#include "sansio/context.hpp"
#include "state/cluster_state.hpp"
#include "state/model.hpp"
#include "wire/messages.hpp"
#include "workers/heartbeat_processor.hpp"
#include "workers/worker_client.hpp"
#include "workers/worker_conditions.hpp"

namespace dunebridge::workers {

class CommandDispatcher {
  public:
    CommandDispatcher(sansio::Context& context, coordination::Election& election,
                      state::ClusterState& cluster_state, const config::Config& config,
                      HeartbeatProcessor& heartbeats);

    // Sends to machines for which commands have been requested.
    void tick();
    // What the worker is to do now; what is started counts as sent.
    std::vector<wire::TaskCommand> commands(state::Machine& machine, ExchangeKind exchange);
    // Work that an unresponsive machine certainly has not got goes elsewhere.
    void remove_unsent_placements(state::Machine& machine);

  private:
    bool append_clear_commands(const state::Machine& machine,
                               std::vector<wire::TaskCommand>& commands) const;
    static void append_stop_command(const state::Placement& placement,
                                    std::vector<wire::TaskCommand>& commands);
    static bool replaces_exited_attempt(const state::Machine& machine,
                                        const state::Placement& placement);
    void remove_unsent_cancelled(state::Machine& machine);
    void remove_placements_if(state::Machine& machine, bool (*condition)(const state::Placement&));
    void send(state::Machine& machine);
    void handle_command_result(const MachineName& host, const CommandResult& result);

    sansio::Context& context_;
    coordination::Election& election_;
    state::ClusterState& state_;
    HeartbeatProcessor& heartbeat_processor_;
    WorkerClient client_;
    std::size_t in_flight_ = 0;
    std::size_t max_in_flight_;
};

}  // namespace dunebridge::workers
