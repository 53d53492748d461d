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
    CommandDispatcher(sansio::Context& port, coordination::Election& election,
                      state::ClusterState& cluster_state, const config::Config& config,
                      HeartbeatProcessor& heartbeats);

    // Sends to machines for which commands have been requested.
    void tick();
    // What the worker is to do now; what is started counts as sent.
    std::vector<wire::TaskCommand> commands(state::Machine& machine, Channel channel);
    // Work that an unresponsive machine certainly has not got goes elsewhere.
    void drop_all_unsent(state::Machine& machine);

  private:
    bool add_clears(const state::Machine& machine, std::vector<wire::TaskCommand>& commands) const;
    static void add_stop(const state::Placement& placement,
                         std::vector<wire::TaskCommand>& commands);
    static bool replaces_exited(const state::Machine& machine, const state::Placement& placement);
    void drop_unsent_to_stop(state::Machine& machine);
    void drop(state::Machine& machine, bool (*condition)(const state::Placement&));
    void send(state::Machine& machine);
    void answered(const MachineName& host, const CommandResult& result);

    sansio::Context& context_;
    coordination::Election& election_;
    state::ClusterState& state_;
    HeartbeatProcessor& heartbeat_processor_;
    WorkerClient client_;
    std::size_t in_flight_ = 0;
    std::size_t max_in_flight_;
};

}  // namespace dunebridge::workers
