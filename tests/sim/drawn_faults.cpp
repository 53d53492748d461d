// Faults of a scenario that a seed draws, one at a time.
#include "sim/random_faults.hpp"

namespace dunebridge::sim {

using WorkerFault = FaultInjector::WorkerFault;

// NOLINTNEXTLINE(readability-function-size): a table of faults, one line each.
void RandomFaults::inject_any() {
    const Millis span(1000 + static_cast<std::int64_t>(sim_.fault_rng() % 30000));
    const auto percent = static_cast<unsigned>(20 + sim_.fault_rng() % 60);
    const auto any = sim_.fault_rng() % controllers_.size();
    const auto i = sim_.fault_rng() % 3 != 0 && controllers_.leader() < controllers_.size()
                       ? controllers_.leader()
                       : any;
    const auto link_fault = sim_.fault_rng() % 2 == 0 ? LinkFault::delay : LinkFault::drop;
    switch (sim_.fault_rng() % 21) {
        case 0:
            return injector_.refuse(i, span);
        case 1:
            return injector_.kv_store_outage(span * 2);
        case 2:
            return injector_.slow_kv_store(span);
        case 3:
            return injector_.delay_commands(span);
        case 4:
            return injector_.delay_transactions(0.3, span);
        case 5:
            return injector_.duplicate_heartbeats(0.5, span);
        case 6:
            return injector_.cancel_on_completion(0.5, span);
        case 7:
            return injector_.inject_invalid_requests(span);
        case 8:
        case 9:
            return injector_.cancel_running(1 + sim_.fault_rng() % 6);
        case 10:
            return injector_.inject_worker_fault(WorkerFault::unreachable, percent, span);
        case 11:
            return injector_.inject_worker_fault(WorkerFault::delayed, percent, span);
        case 12:
            return injector_.inject_worker_fault(WorkerFault::inbound_lost, percent, span);
        case 13:
            return injector_.inject_worker_fault(WorkerFault::heartbeats_lost, percent, span);
        case 14:
            return injector_.inject_worker_fault(WorkerFault::hung, percent, span);
        case 15:
            return injector_.crash_controller(
                i, Millis(50 + static_cast<std::int64_t>(sim_.fault_rng() % 4000)));
        case 16:
            return injector_.crash_all(
                Millis(50 + static_cast<std::int64_t>(sim_.fault_rng() % 20000)));
        case 17:
            return injector_.partition_controller(i, {true, true, false}, link_fault, span);
        case 18:
            return injector_.drop_transaction_responses(0.4, span);
        case 19:
            return injector_.partition_controller(
                i,
                {sim_.fault_rng() % 2 == 0, sim_.fault_rng() % 3 == 0, sim_.fault_rng() % 2 == 0},
                link_fault, span);
        default:
            return injector_.partition_zone(sim_.fault_rng() % 2 ? "a" : "b", any, span);
    }
}

void RandomFaults::inject_any_compound() {
    const Millis span(1000 + static_cast<std::int64_t>(sim_.fault_rng() % 60000));
    const auto any = sim_.fault_rng() % controllers_.size();
    const auto node = controllers_.leader() < controllers_.size() && sim_.fault_rng() % 3 != 0
                          ? controllers_.leader()
                          : any;
    const std::string zone = sim_.fault_rng() % 2 ? "a" : "b";
    switch (sim_.fault_rng() % 7) {
        case 0:
            return injector_.inject_boot_fault(5, 0.2, span);
        case 1:
            return injector_.inject_boot_fault(1, 1, span, zone);
        case 2:
            return injector_.crash_controller(node, span);
        case 3:
            return injector_.crash_all(span);
        case 4:
            return injector_.stall_process(node, span);
        case 5:
            return injector_.stall_all_processes(span);
        default:
            return injector_.poll_storm(8, span);
    }
}

}  // namespace dunebridge::sim
