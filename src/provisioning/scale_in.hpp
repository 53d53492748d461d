// Decides which machines are given up, and deletes them.
//
// A deletion that the cloud confirms proves that the machine and its tasks are gone; so it is also
// the way out where nothing else can prove it.
#pragma once

#include <cstdint>
#include <optional>
#include <set>

#include "core/config.hpp"
#include "core/ledger.hpp"
#include "core/port.hpp"
#include "provisioning/cloud_client.hpp"
#include "provisioning/machine_types.hpp"
#include "provisioning/startup_monitor.hpp"
#include "workers/workers.hpp"

namespace dunebridge::provisioning {

// Why a machine is given up, as operators see it in the log (docs/operations.md).
enum class ReturnReason : std::uint8_t {
    idle,
    drained,          // it was to get no more tasks, and has none left
    stuck,            // it never came up
    failed,           // the cloud says so
    taken,            // by the cloud, as announced
    unlisted,         // the cloud's list lacks it
    unheard,          // it has not reported to this term's leader
    silent,           // it reports no more
    unresponsive,     // it reports, and acknowledges nothing
    cancelled_tasks,  // tasks of a cancelled job are not confirmed gone
};

class MachineReturns {
  public:
    MachineReturns(core::Port& port, CloudClient& cloud, core::Ledger& ledger,
                   workers::Workers& workers, const MachineTypes& types,
                   const StartupMonitor& startups, const core::Config& config);

    // Another term begins.
    void reset();
    // Looks for machines to be given up, now and then.
    void check();
    // The machine is to be deleted.
    void give_up(core::Machine& machine, ReturnReason why);
    void send_deletions();

  private:
    void count_silent();
    void check_machine(core::Machine& machine);
    std::optional<ReturnReason> why_give_up_unreported(const core::Machine& machine) const;
    std::optional<ReturnReason> why_give_up_reported(const core::Machine& machine) const;
    bool holds_cancelled_tasks_too_long(const core::Machine& machine) const;
    void save_tasks(core::Machine& machine);
    Millis patience() const;

    core::Port& port_;
    CloudClient& cloud_;
    core::Ledger& ledger_;
    workers::Workers& workers_;
    const MachineTypes& types_;
    const StartupMonitor& startups_;
    const core::Config& config_;
    std::set<HostName> given_up_;  // machines to be deleted
    bool deleting_ = false;
    Instant next_deletion_{};
    Instant next_check_{};
    bool many_silent_ = false;
    bool tasks_of_ended_ = false;  // some machine has tasks of a job that is over
};

}  // namespace dunebridge::provisioning
