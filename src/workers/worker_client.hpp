/// \file
/// Sends direct commands to workers.
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
    /// Certainly not executed, now or later. Without it they may have been, or may yet be.
    bool unexecuted = false;
    /// The worker's report after the commands.
    std::optional<wire::WorkerHeartbeat> heartbeat;
};

/// Sends direct commands to workers.
class WorkerClient {
  public:
    explicit WorkerClient(sansio::Context& context) : context_(context) {}

    void send(const state::Machine& machine, FencingToken token,
              const std::vector<wire::TaskCommand>& commands,
              std::function<void(const CommandResult&)> then);

  private:
    CommandResult read(const MachineName& host, const sansio::HttpResult& reply);

    sansio::Context& context_;
};

}  // namespace dunebridge::workers
