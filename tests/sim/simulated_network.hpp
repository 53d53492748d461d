/// \file
/// The network between controllers, workers, the key-value store and the cloud, with its faults:
/// partitions, lost, delayed and duplicated messages.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "sim/controller_processes.hpp"
#include "sim/fake_cloud.hpp"
#include "sim/fake_kv_store.hpp"
#include "sim/simulation.hpp"

namespace dunebridge::sim {

/// What happens to messages over a link.
enum class LinkFault : std::uint8_t {
    none,
    drop,             ///< All are lost.
    delay,            ///< They are delivered when the fault is over.
    inbound_lost,     ///< Of a worker: heartbeats arrive, responses and commands are lost.
    heartbeats_lost,  ///< Of a worker: heartbeats and their responses are lost, commands arrive.
};

/// The faults of one controller's links.
struct ControllerLinks {
    LinkFault kv_store = LinkFault::none;
    LinkFault workers = LinkFault::none;
    LinkFault peers = LinkFault::none;
    bool refused = false;  ///< The key-value store refuses this controller alone.
    Instant until{};       ///< When delayed messages are delivered.
};

/// Faults of the whole network, each up to some moment.
struct NetworkFaults {
    double lost_responses = 0;  ///< Share of responses lost, except between controllers.
    Instant commands_delayed_until{};
    Instant kv_store_slow_until{};
    FaultWindow delayed_transactions;           ///< No response; carried out 2 to 12 s later.
    FaultWindow dropped_transaction_responses;  ///< Carried out at once; no response.
    FaultWindow duplicated_heartbeats;          ///< A copy arrives late at some controller.
    FaultWindow repeated_commands;              ///< Executed direct commands arrive again.
};

/// Carries messages with a latency of 1 to 4 ms, subject to the faults set on it.
class SimulatedNetwork {
  public:
    SimulatedNetwork(Simulation& simulation, ControllerProcesses& controllers,
                     FakeKvStore& kv_store, FakeCloud& cloud, Machines& machines);

    /// Carries a controller's call to its destination and the result back.
    void call(std::size_t i, sansio::HttpCall call);
    /// Carries a worker's heartbeat to the controller and the response back.
    void send_heartbeat(const MachineName& host, std::size_t i, const std::string& body);

    ControllerLinks& links(std::size_t i) { return links_[i]; }
    /// Ends the faults of the controller's links at that time, unless a later fault lasts longer.
    void heal_at(Instant until, std::size_t i);
    LinkFault worker_fault(const MachineName& host) const;
    void set_worker_fault(const MachineName& host, LinkFault fault, Instant until) {
        worker_faults_[host] = {fault, until};
    }

    /// A task has started on the machine: copies of the direct commands that started it on other
    /// machines before arrive there.
    void repeat_commands_elsewhere(const MachineName& host, const TaskRef& task);

    /// Called with each copy of an executed direct command that arrives for the current epoch of
    /// the worker; `refused`: because of its fencing token.
    using OnRepeatedCommand =
        std::function<void(const MachineName&, const wire::CommandBatch&, bool refused)>;
    void set_on_repeated_command(OnRepeatedCommand observer) {
        on_repeated_command_ = std::move(observer);
    }

    NetworkFaults faults;

  private:
    struct WorkerLink {
        LinkFault fault = LinkFault::none;
        Instant until{};
    };

    Millis latency();
    Millis kv_store_delay();
    static LinkFault& link_fault(ControllerLinks& links, sansio::Destination service);
    bool connection_refused(const std::string& endpoint);
    void serve(std::size_t i, const sansio::HttpCall& call, FakeKvStore::Reply reply);
    void serve_kv_store(std::size_t i, const sansio::HttpCall& call, FakeKvStore::Reply reply);
    void serve_peer(const sansio::HttpCall& call, const FakeKvStore::Reply& reply);
    void serve_worker(std::size_t i, const sansio::HttpCall& call, const FakeKvStore::Reply& reply);
    void carry_out_late(const sansio::HttpCall& call);
    void duplicate_request(std::size_t i, const sansio::HttpCall& call);
    void repeat_executed_command(const sansio::HttpCall& call);
    void deliver_repeated_command(const sansio::HttpCall& call);
    void duplicate_heartbeat(std::size_t i, const std::string& body);

    Simulation& sim_;
    ControllerProcesses& controllers_;
    FakeKvStore& kv_store_;
    FakeCloud& cloud_;
    Machines& workers_;
    std::vector<ControllerLinks> links_;
    std::map<MachineName, WorkerLink> worker_faults_;
    OnRepeatedCommand on_repeated_command_;
    /// The direct commands that started a task, while commands are repeated.
    std::map<TaskRef, std::vector<sansio::HttpCall>> executed_starts_;
};

}  // namespace dunebridge::sim
