// The paper's rule (MBFCBS) over all machines, as adapted in docs/design.md: best fit to the
// fullest machine; a high-priority task that fits nowhere stops the first fitting best-effort
// task; best effort never preempts; waiting tasks are held, not bound.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "core/config.hpp"
#include "core/ledger.hpp"
#include "core/port.hpp"
#include "provisioning/run_times.hpp"
#include "scheduler/placement.hpp"
#include "scheduler/waiting_list.hpp"
#include "workers/workers.hpp"

namespace dunebridge::scheduler {

class Scheduler {
  public:
    Scheduler(core::Port& port, core::Ledger& ledger, workers::Workers& workers,
              const provisioning::RunTimes& run_times, const core::Config& config);

    // One pass: places what waits, and stops what must make room. Returns how many jobs waited.
    std::size_t run();

  private:
    // What a job asks of a machine: jobs of like tasks that fit nowhere are decided as a class.
    using Kind = std::tuple<double, double, double, bool, std::optional<std::string>,
                            std::optional<std::vector<std::string>>>;

    Kind kind_of(const core::Job& job) const;
    void find_rooms(const std::vector<WaitingJob>& waiting);
    void add_room(core::Machine& machine);
    double earliest_s(const core::Machine& machine) const;
    std::size_t quota_left(const core::Job& job) const;
    bool allowed(const core::Job& job, const core::Machine& machine) const;
    void place(const WaitingJob& waiting);
    void begin(const WaitingJob& waiting);
    void keep_machine(const core::Job& job);
    std::size_t fill(core::Job& job, std::size_t most);
    void make_room(const core::Job& job, std::size_t tasks);
    void find_victims();

    core::Port& port_;
    core::Ledger& ledger_;
    workers::Workers& workers_;
    const provisioning::RunTimes& run_times_;
    const core::Config& config_;
    WaitingList waiting_list_;

    // Of the pass under way.
    std::vector<core::Machine*> machines_;
    std::vector<Room> rooms_;
    std::vector<core::Machine*> full_machines_;  // without room for any waiting task
    std::set<Kind> nowhere_;                     // fit no machine now
    std::set<Kind> exhausted_;                   // nor does stopping others help them
    struct Victim {
        core::Placement* placement;
        std::size_t room;
    };
    std::optional<std::vector<Victim>> victims_;
};

}  // namespace dunebridge::scheduler
