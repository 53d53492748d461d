/// \file
/// Client for the workers' command endpoint.
#pragma once

#include <functional>
#include <optional>
#include <vector>

#include "sansio/context.hpp"
#include "state/machine.hpp"
#include "wire/messages.hpp"

namespace dunebridge::workers {

/// The result of a direct command.
struct CommandResult {
    /// True if the commands were certainly not executed and never will be. If false, they may have
    /// been executed or may still be.
    bool not_executed = false;
    /// The worker's heartbeat in the reply; empty if the reply held no valid heartbeat.
    std::optional<wire::WorkerHeartbeat> heartbeat;
};

/// Sends direct commands to workers.
class WorkerClient {
  public:
    explicit WorkerClient(sansio::Context& context) : context_(context) {}

    /// Sends the commands to the machine's worker. Calls `on_result` once the worker has replied or
    /// the call has failed.
    void send(const state::Machine& machine, FencingToken token,
              const std::vector<wire::TaskCommand>& commands,
              std::function<void(const CommandResult&)> on_result);

  private:
    CommandResult parse_reply(const MachineName& host, const sansio::HttpResult& reply);

    sansio::Context& context_;
};

}  // namespace dunebridge::workers
