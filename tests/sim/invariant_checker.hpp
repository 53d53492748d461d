/// \file
/// The guarantees of the protocol, checked while a scenario runs.
#pragma once

#include <map>
#include <set>

#include "sim/fake_kv_store.hpp"
#include "sim/simulated_network.hpp"
#include "sim/simulated_users.hpp"
#include "sim/starvation_checker.hpp"

namespace dunebridge::sim {

/// Compares what is on the machines with the key-value store's records, with quotas and with what
/// users have been told. Violations go to Simulation::violated.
class InvariantChecker {
  public:
    InvariantChecker(Simulation& simulation, const FakeKvStore& kv_store, Machines& machines,
                     SimulatedUsers& users, const SimulatedNetwork& network);

    /// To be called when a task starts on a machine: no second copy runs, its constraints hold, its
    /// dependencies are done, its job is not long cancelled.
    void task_started(const MachineName& host, const TaskRef& task);
    /// Cancelled jobs, quotas, unanswered users and starvation.
    void check();
    /// Every task on a machine is on record with its attempt, and none is recorded twice.
    void check_records();

  private:
    void check_uniqueness(const MachineName& host, const TaskRef& task);
    void check_constraints(const FakeWorker& worker, const TaskRef& task);
    void check_zones(const FakeWorker& worker, const TaskRef& task);
    void check_cancellation(const TaskRef& task);
    void check_responses();

    Simulation& sim_;
    const FakeKvStore& kv_store_;
    Machines& workers_;
    SimulatedUsers& users_;
    StarvationChecker starvation_;
    /// Machines that have started any task of the job: no other can have one.
    std::map<JobId, std::set<MachineName>> started_on_;
};

}  // namespace dunebridge::sim
