/// \file
/// A whole cluster in virtual time: real controllers, simulated users, workers, cloud, key-value
/// store and network, faults, and the invariants of the protocol. All of it repeats for a seed.
#pragma once

#include <string>
#include <vector>

#include "sim/controller_processes.hpp"
#include "sim/fake_cloud.hpp"
#include "sim/fake_kv_store.hpp"
#include "sim/fault_injector.hpp"
#include "sim/invariant_checker.hpp"
#include "sim/random_faults.hpp"
#include "sim/simulated_network.hpp"
#include "sim/simulated_users.hpp"

namespace dunebridge::sim {

/// Owns the parts of a simulation, connects them, and lets time pass. Invariants are checked after
/// every event, or at intervals in large fleets.
class SimulatedCluster : private WorkerHost {
  public:
    explicit SimulatedCluster(const ScenarioOptions& options);
    SimulatedCluster(const SimulatedCluster&) = delete;
    SimulatedCluster& operator=(const SimulatedCluster&) = delete;
    ~SimulatedCluster() override = default;

    /// Runs the random faults, and then until every job has ended (and some time longer, so that
    /// late messages are seen to do no harm) or the drain time is over. Stops at a violation.
    void run();
    /// Runs for a span of virtual time, or up to a violation.
    void run_for(Millis span);

    FaultInjector& faults() { return faults_; }
    RandomFaults& random_faults() { return random_faults_; }
    SimulatedUsers& users() { return users_; }
    const SimulatedUsers& users() const { return users_; }
    const ControllerProcesses& controllers() const { return controllers_; }
    const Statistics& statistics() const { return sim_.statistics; }
    const FakeKvStore& kv_store() const { return kv_store_; }
    const FakeCloud& cloud() const { return cloud_; }
    const std::vector<std::string>& violated_invariants() const { return sim_.violations; }
    /// The violations, one a line.
    std::string describe_violations() const;

    double elapsed_s() const { return to_seconds(sim_.clock.now() - Clock().now()); }
    /// The record format in force.
    std::uint64_t record_format() const;
    std::size_t machines_up() const;
    /// Tasks that workers have killed because their leases expired.
    std::size_t killed_by_lease() const;

  private:
    // WorkerHost: what the fake workers ask of the rest of the simulation.
    const wire::JobSpec* description(const JobId& id) override { return users_.description(id); }
    Millis run_time(const TaskRef& task) override { return users_.run_time(task); }
    bool fails(const TaskRef& task) override { return users_.at(task.job).failing; }
    void task_started(const MachineName& host, const TaskRef& task) override {
        invariants_.task_started(host, task);
        network_.repeat_commands_elsewhere(host, task);
    }
    void task_completed(const TaskRef& task) override { users_.task_completed(task); }
    void send_heartbeat(const MachineName& host, std::size_t node,
                        const std::string& body) override {
        network_.send_heartbeat(host, node, body);
    }
    std::size_t node_count() const override { return controllers_.size(); }
    std::size_t node_named(const std::string& name) const override {
        return controllers_.named(name);
    }

    FakeCloud::Events cloud_events();
    void start_worker(const wire::ListedMachine& listing);
    void enforce_site_limits();
    void count_repeated_command(const MachineName& host, const wire::CommandBatch& batch,
                                bool refused);
    void step_once(Instant limit);

    Simulation sim_;
    Machines machines_;
    FakeKvStore kv_store_;
    FakeCloud cloud_;
    ControllerProcesses controllers_;
    SimulatedNetwork network_;
    SimulatedUsers users_;
    InvariantChecker invariants_;
    FaultInjector faults_;
    RandomFaults random_faults_;
    Instant next_check_{};
    Instant next_record_check_{};
    Millis check_every_{20};
    Millis check_records_every_{50};
};

}  // namespace dunebridge::sim
