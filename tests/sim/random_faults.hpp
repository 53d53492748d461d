/// \file
/// Faults drawn from the scenario's seed.
#pragma once

#include <functional>
#include <vector>

#include "sim/fault_injector.hpp"

namespace dunebridge::sim {

/// Draws faults and injects them: at random intervals if the scenario's options say so, or one at a
/// time when a test asks for it.
class RandomFaults {
  public:
    RandomFaults(const ClusterParts& parts, FaultInjector& injector);

    /// Injects a fault every ScenarioOptions::fault_every_s on average, until the faults' end.
    void schedule_faults();
    /// The same with the faults of larger fleets.
    void schedule_severe_faults();
    /// Injects one of the faults that FaultInjector knows, boot faults, stalls and poll storms
    /// aside.
    void inject_any();
    /// Injects a boot fault, crash, stall or poll storm.
    void inject_any_compound();

  private:
    /// The target and the duration with which a fault is injected.
    struct Fault {
        std::size_t node = 0;
        LinkFault link_fault = LinkFault::drop;
        Millis span{};
        Instant until{};
    };
    using FaultAction = std::function<void(RandomFaults&, const Fault&)>;

    static FaultAction partition_from(bool state, bool nodes, bool workers);
    static std::vector<FaultAction> service_faults();
    static std::vector<FaultAction> machine_faults();
    static const std::vector<FaultAction>& faults();
    void inject_fault();
    void inject_severe_fault();
    FakeWorker* any_worker();
    Millis short_restart();
    void preempt_with_notice();
    void crash_repeatedly(std::size_t node);

    Simulation& sim_;
    ControllerProcesses& controllers_;
    SimulatedNetwork& network_;
    Machines& workers_;
    FakeCloud& cloud_;
    FaultInjector& injector_;
};

}  // namespace dunebridge::sim
