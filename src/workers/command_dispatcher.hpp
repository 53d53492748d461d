// Decides which orders a worker gets, and sends them as direct commands where check-ins would be
// too late.
//
// A direct command without an answer may be executed minutes later. A higher token, which the
// worker has seen, shuts it out.
#pragma once

#include <cstddef>
#include <vector>

#include "cluster/election.hpp"
#include "core/config.hpp"
#include "core/ledger.hpp"
#include "core/model.hpp"
#include "core/port.hpp"
#include "wire/messages.hpp"
#include "workers/report_processor.hpp"
#include "workers/worker_client.hpp"
#include "workers/worker_state.hpp"

namespace dunebridge::workers {

class CommandSender {
  public:
    CommandSender(core::Port& port, cluster::Election& election, core::Ledger& ledger,
                  const core::Config& config, ReportProcessor& reports);

    // Sends to machines for which commands have been requested.
    void tick();
    // What the worker is to do now; what is started counts as sent.
    std::vector<wire::Order> orders(core::Machine& machine, Channel channel);
    // Work that an unresponsive machine certainly has not got goes elsewhere.
    void drop_all_unsent(core::Machine& machine);

  private:
    bool add_clears(const core::Machine& machine, std::vector<wire::Order>& orders) const;
    static void add_stop(const core::Placement& placement, std::vector<wire::Order>& orders);
    static bool replaces_exited(const core::Machine& machine, const core::Placement& placement);
    void drop_unsent_to_stop(core::Machine& machine);
    void drop(core::Machine& machine, bool (*condition)(const core::Placement&));
    void send(core::Machine& machine);
    void answered(const HostName& host, const CommandResult& result);

    core::Port& port_;
    cluster::Election& election_;
    core::Ledger& ledger_;
    ReportProcessor& reports_;
    WorkerClient client_;
    std::size_t in_flight_ = 0;
    std::size_t max_in_flight_;
};

}  // namespace dunebridge::workers
