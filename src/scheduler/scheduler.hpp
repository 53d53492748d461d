// One pass of placement over the ledger: who goes first, what fits where, and who must make room.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/config.hpp"
#include "core/ledger.hpp"
#include "core/port.hpp"
#include "fleet/fleet.hpp"
#include "scheduler/placement.hpp"
#include "workers/workers.hpp"

namespace dunebridge::scheduler {

class Scheduler {
  public:
    Scheduler(core::Port& port, core::Ledger& ledger, workers::Workers& workers,
              fleet::Fleet& fleet, const core::Config& config);
    void run();

  private:
    struct Entry {
        core::Job* job = nullptr;
        bool guaranteed = false;
        Instant due{};
    };

    void find_rooms();
    std::vector<Entry> waiting_jobs();
    std::map<const core::Job*, bool> within_guarantee() const;
    void place(const Entry& entry);
    // How many more tasks the team's limit allows; exact, counting all that is recorded.
    std::size_t quota_left(const core::Job& job) const;
    bool allowed(const core::Job& job, std::size_t room) const;
    // Stops the first fitting best-effort task for a high-priority one; room it leaves is promised.
    bool preempt(const core::Job& job, const Resources& need);
    bool high(const core::Job& job) const;
    // When the job's tasks must have started for its aims to be kept: the paper's start time ST.
    // Until then a high-priority task is held rather than let another lose its work.
    Instant start_by(const Entry& entry) const;
    // When the job should be over, for the order inside a priority.
    Instant due(const core::Job& job) const;

    core::Port& port_;
    core::Ledger& ledger_;
    workers::Workers& workers_;
    fleet::Fleet& fleet_;
    const core::Config& config_;
    std::vector<core::Machine*> machines_;
    std::vector<Room> rooms_;
};

}  // namespace dunebridge::scheduler
