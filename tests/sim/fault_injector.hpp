/// \file
/// The faults that a test or a random scenario injects into a simulated cluster.
#pragma once

#include <string>

#include "sim/controller_processes.hpp"
#include "sim/fake_cloud.hpp"
#include "sim/fake_kv_store.hpp"
#include "sim/simulated_network.hpp"
#include "sim/simulated_users.hpp"

namespace dunebridge::sim {

/// The parts of a simulated cluster that faults act on.
struct ClusterParts {
    Simulation& simulation;
    ControllerProcesses& controllers;
    SimulatedNetwork& network;
    SimulatedUsers& users;
    Machines& machines;
    FakeKvStore& kv_store;
    FakeCloud& cloud;
};

/// Injects faults; each begins at once and lasts for the given span of virtual time.
class FaultInjector {
  public:
    explicit FaultInjector(const ClusterParts& parts);

    // ---- the key-value store ----

    /// The key-value store refuses the controller alone.
    void refuse(std::size_t i, Millis span);
    void refuse_leader(Millis span) { refuse(controllers_.leader(), span); }
    void kv_store_outage(Millis span);
    void slow_kv_store(Millis span) {
        network_.faults.kv_store_slow_until = sim_.clock.now() + span;
    }
    /// That share of the transactions gets no response and is carried out 2 to 12 s later.
    void delay_transactions(double share, Millis span) {
        network_.faults.delayed_transactions = window(share, span);
    }
    /// That share of the transactions is carried out at once, and only the response is lost.
    void drop_transaction_responses(double share, Millis span) {
        network_.faults.dropped_transaction_responses = window(share, span);
    }
    /// The key-value store's limits fall to those that the configuration names for later.
    void lower_limits();

    // ---- users ----

    /// That share of the jobs is cancelled, polled and submitted again when their last task ends.
    void cancel_on_completion(double share, Millis span) {
        users_.cancel_on_completion = window(share, span);
    }
    /// The users of that many running jobs cancel them within 200 ms, at controllers that do not
    /// lead.
    void cancel_running(std::size_t jobs);
    /// Users repeat submissions, cancel completed jobs, and send what is invalid.
    void inject_invalid_requests(Millis span);
    /// Users poll their jobs so many times as often.
    void poll_storm(int factor, Millis span);

    // ---- workers and machines ----

    enum class WorkerFault : std::uint8_t {
        unreachable,      ///< All messages are lost.
        delayed,          ///< All messages are delivered when the fault is over.
        inbound_lost,     ///< Heartbeats arrive, responses and commands are lost.
        heartbeats_lost,  ///< Heartbeats and their responses are lost, commands arrive.
        hung              ///< The worker's process does nothing.
    };
    /// Affects each machine with that probability, in percent.
    void inject_worker_fault(WorkerFault how, unsigned percent, Millis span);
    /// Commands to workers are delayed; heartbeats and their responses are not.
    void delay_commands(Millis span) {
        network_.faults.commands_delayed_until = sim_.clock.now() + span;
    }
    /// That share of the direct commands that a worker has executed and answered arrives again:
    /// four times up to three leases later, and whenever the task has started on another machine.
    void repeat_commands(double share, Millis span) {
        network_.faults.repeated_commands = window(share, span);
    }
    /// The workers on machines with that probability, in percent, end and are back at once, in a
    /// new epoch and without their tasks.
    void restart_workers(unsigned percent);
    /// Tasks fail on each machine with that probability, in percent.
    void fail_tasks(unsigned percent, Millis span);
    /// Tasks fail on the worker's machine.
    void fail_tasks_on(FakeWorker& worker, Millis span);
    /// A copy of that share of the heartbeats arrives again at some controller, up to three leases
    /// later.
    void duplicate_heartbeats(double share, Millis span) {
        network_.faults.duplicated_heartbeats = window(share, span);
    }
    /// Each machine vanishes or fails with that probability, in percent.
    void kill_machines(unsigned percent);
    /// Machines rented from now on, in the zone or (empty) in all, take `factor` times as long to
    /// boot, and that share of them never does.
    void inject_boot_fault(double factor, double never, Millis span, const std::string& zone = {}) {
        cloud_.set_boot_fault({factor, never, zone, sim_.clock.now() + span});
    }

    // ---- controllers ----

    /// The process does nothing while its clock runs on.
    void stall_process(std::size_t i, Millis span) { controllers_.stall(i, span); }
    void stall_all_processes(Millis span);
    void crash_leader(Millis down = Millis(4000));
    void crash_controller(std::size_t i, Millis down) {
        controllers_.crash(i % controllers_.size(), down);
    }
    void crash_all(Millis down);
    /// Kills the process and boots it again with the newer version.
    void upgrade(std::size_t i, Millis down);
    /// The leader loses the key-value store and its peers, not its workers.
    void isolate_leader(Millis span);
    /// Partitions the zone's machines and the controller from everything else; messages are
    /// delayed.
    void partition_zone(const std::string& zone, std::size_t i, Millis span);
    /// Which of a controller's links are affected.
    struct Links {
        bool kv_store = false;
        bool peers = false;
        bool workers = false;
    };
    void partition_controller(std::size_t i, Links lost, LinkFault fault, Millis span);

  private:
    FaultWindow window(double share, Millis span) const { return {share, sim_.clock.now() + span}; }
    void send_invalid_request();

    Simulation& sim_;
    ControllerProcesses& controllers_;
    SimulatedNetwork& network_;
    SimulatedUsers& users_;
    Machines& workers_;
    FakeKvStore& kv_store_;
    FakeCloud& cloud_;
    int invalid_requests_ = 0;
};

}  // namespace dunebridge::sim
