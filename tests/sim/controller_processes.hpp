/// \file
/// The processes of the simulated controllers: their event loops, crashes, restarts and stalls.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "controller/controller.hpp"
#include "sim/simulation.hpp"

namespace dunebridge::sim {

/// Runs real controllers in virtual time. A controller steps one millisecond after a command is
/// delivered to it, and whenever one of its timers is due.
class ControllerProcesses {
  public:
    using ResponseHandler = std::function<void(const sansio::HttpResponse&)>;
    /// Takes a call that a controller makes to another process.
    using Transport = std::function<void(std::size_t index, sansio::HttpCall call)>;

    ControllerProcesses(Simulation& simulation, std::size_t count);

    /// Must be set before the first boot.
    void set_transport(Transport transport) { transport_ = std::move(transport); }
    void boot_all();
    /// Kills the process, which loses all its memory, and boots it again after the span.
    void crash(std::size_t i, Millis down);
    /// The process does nothing while its clock runs on, as in a long stall of its host.
    void stall(std::size_t i, Millis span);
    /// From its next boot on the process is of the newer version.
    void mark_upgraded(std::size_t i) { processes_[i].old_version = false; }
    /// Queues a command for the controller; dropped while it is down.
    void deliver(std::size_t i, controller::Command command);
    /// Sends a request to the controller. `then` gets the response, unless the process crashes
    /// first.
    void request(std::size_t i, controller::Listener listener, const std::string& method,
                 const std::string& target, const std::string& body, ResponseHandler then);

    std::size_t size() const { return processes_.size(); }
    /// The index of the controller that leads, or size() if none does.
    std::size_t leader() const;
    bool leads(std::size_t i) const {
        return processes_[i].controller && processes_[i].controller->is_active_leader();
    }
    /// The index of the controller with the name, or size().
    std::size_t named(const std::string& name) const;
    /// Tells the process from those before and after it; 0 while it is down.
    std::uint64_t incarnation(std::size_t i) const { return processes_[i].incarnation; }

  private:
    struct Process {
        std::unique_ptr<controller::Controller> controller;
        std::uint64_t incarnation = 0;
        std::vector<controller::Command> queue;
        bool step_planned = false;
        bool old_version = false;
        Instant stalled_until{};
        std::map<RequestId, ResponseHandler> waiting;
    };

    void boot(std::size_t i);
    void step(std::size_t i);
    void wake_when_due(std::size_t i);
    void respond(Process& process, const std::vector<sansio::HttpResponse>& responses);
    void record_logs(std::size_t i, const sansio::Effects& effects);
    void record_cost(double processor_s, const sansio::Effects& effects);
    void add_to_digest(std::size_t index, const sansio::Effects& effects);

    Simulation& sim_;
    Transport transport_;
    std::vector<Process> processes_;
    std::uint64_t next_request_ = 0;
    std::uint64_t incarnations_ = 0;
};

}  // namespace dunebridge::sim
