#include "sim/random_faults.hpp"

#include <algorithm>

namespace dunebridge::sim {

RandomFaults::RandomFaults(const ClusterParts& parts, FaultInjector& injector)
    : sim_(parts.simulation),
      controllers_(parts.controllers),
      network_(parts.network),
      workers_(parts.machines),
      cloud_(parts.cloud),
      injector_(injector) {}

void RandomFaults::schedule_faults() {
    const auto mean = sim_.options.fault_every_s * 1000;
    sim_.clock.after(
        Millis(static_cast<std::int64_t>(mean / 2) +
               static_cast<std::int64_t>(sim_.rng() % static_cast<std::uint64_t>(mean))),
        [this] {
            if (sim_.clock.now() > sim_.faults_end) return;
            inject_fault();
            schedule_faults();
        });
}

FakeWorker* RandomFaults::any_worker() {
    std::vector<FakeWorker*> alive;
    for (auto& [host, worker] : workers_) {
        if (!worker->gone()) alive.push_back(worker.get());
    }
    return alive.empty() ? nullptr : alive[sim_.rng() % alive.size()];
}

Millis RandomFaults::short_restart() {
    return Millis(100 + static_cast<std::int64_t>(sim_.rng() % 4000));
}

// Partitions the controller from those named.
RandomFaults::FaultAction RandomFaults::partition_from(bool state, bool nodes, bool workers) {
    return [state, nodes, workers](RandomFaults& self, const Fault& fault) {
        auto& links = self.network_.links(fault.node);
        if (state) links.kv_store = fault.link_fault;
        if (nodes) links.peers = fault.link_fault;
        if (workers) links.workers = fault.link_fault;
        links.until = fault.until;
    };
}

// Faults of controllers, the key-value store and the cloud.
std::vector<RandomFaults::FaultAction> RandomFaults::service_faults() {
    return {[](RandomFaults& self, const Fault& fault) {
                self.controllers_.crash(fault.node, self.short_restart());
            },
            [](RandomFaults& self, const Fault&) {
                for (std::size_t n = 0; n < self.controllers_.size(); ++n) {
                    self.controllers_.crash(n, self.short_restart());
                }
            },
            partition_from(true, false, false),
            partition_from(false, false, true),
            partition_from(true, true, true),
            [](RandomFaults& self, const Fault& fault) {
                self.network_.links(fault.node).refused = true;
                self.network_.links(fault.node).until = fault.until;
            },
            [](RandomFaults& self, const Fault& fault) {
                self.injector_.kv_store_outage(fault.span / 2);
            },
            [](RandomFaults& self, const Fault& fault) {
                self.cloud_.set_outage(true);
                self.sim_.clock.after(fault.span, [&self] { self.cloud_.set_outage(false); });
            }};
}

// Faults of machines and of their links to the controllers.
std::vector<RandomFaults::FaultAction> RandomFaults::machine_faults() {
    return {[](RandomFaults& self, const Fault& fault) {
                if (auto* worker = self.any_worker()) {
                    self.network_.set_worker_fault(worker->host(), fault.link_fault, fault.until);
                }
            },
            [](RandomFaults& self, const Fault& fault) {
                if (auto* worker = self.any_worker()) worker->hang(fault.span);
            },
            [](RandomFaults& self, const Fault&) { self.preempt_with_notice(); },
            [](RandomFaults& self, const Fault&) {
                auto* worker = self.any_worker();
                if (!worker) return;
                self.sim_.rng() % 2 ? self.cloud_.take(worker->host())
                                    : self.cloud_.fail(worker->host());
            },
            [](RandomFaults& self, const Fault& fault) {
                self.network_.faults.lost_responses = 0.1;
                self.sim_.clock.after(fault.span,
                                      [&self] { self.network_.faults.lost_responses = 0; });
            },
            [](RandomFaults& self, const Fault& fault) {
                self.network_.faults.commands_delayed_until = fault.until;
            },
            [](RandomFaults& self, const Fault& fault) {
                if (auto* worker = self.any_worker()) {
                    self.network_.set_worker_fault(worker->host(), LinkFault::inbound_lost,
                                                   fault.until + fault.span);
                }
            },
            partition_from(true, true, false),
            [](RandomFaults& self, const Fault& fault) { self.crash_repeatedly(fault.node); },
            [](RandomFaults& self, const Fault& fault) {
                auto* worker = self.any_worker();
                if (worker) self.injector_.fail_tasks_on(*worker, fault.span);
            }};
}

// Every fault that may be drawn, each with the same probability.
const std::vector<RandomFaults::FaultAction>& RandomFaults::faults() {
    static const std::vector<FaultAction> all = [] {
        auto faults = service_faults();
        for (auto& fault : machine_faults()) faults.push_back(std::move(fault));
        return faults;
    }();
    return all;
}

void RandomFaults::preempt_with_notice() {
    constexpr Millis notice{8000};
    auto* worker = any_worker();
    if (!worker) return;
    worker->set_notice(sim_.clock.now() + notice);
    sim_.clock.after(notice, [this, host = worker->host()] { cloud_.take(host); });
}

// Back within a fraction of a second, and down again while the others still hold an election.
void RandomFaults::crash_repeatedly(std::size_t node) {
    for (int n = 0; n < 4; ++n) {
        sim_.clock.after(Millis(900 * n), [this, node] {
            controllers_.crash(node, Millis(50 + static_cast<std::int64_t>(sim_.rng() % 300)));
        });
    }
}

void RandomFaults::inject_fault() {
    // Faults of the leader matter most.
    auto node = sim_.rng() % controllers_.size();
    for (std::size_t n = 0; n < controllers_.size(); ++n) {
        if (controllers_.leads(n) && sim_.rng() % 2) node = n;
    }
    const Millis span(2000 + static_cast<std::int64_t>(sim_.rng() % 25000));
    const auto until = sim_.clock.now() + span;
    const auto link_fault = sim_.rng() % 2 ? LinkFault::delay : LinkFault::drop;
    const Fault drawn{node, link_fault, span, until};
    faults()[sim_.rng() % faults().size()](*this, drawn);
    network_.heal_at(until, node);
}

void RandomFaults::schedule_severe_faults() {
    const auto mean = static_cast<std::uint64_t>(std::max(sim_.options.fault_every_s, 4.0) * 2000);
    sim_.clock.after(Millis(static_cast<std::int64_t>(mean / 2 + sim_.fault_rng() % mean)), [this] {
        if (sim_.clock.now() > sim_.faults_end) return;
        inject_severe_fault();
        schedule_severe_faults();
    });
}

void RandomFaults::inject_severe_fault() {
    auto i = controllers_.leader();
    if (i == controllers_.size() || sim_.fault_rng() % 3 == 0)
        i = sim_.fault_rng() % controllers_.size();
    const Millis span(1000 + static_cast<std::int64_t>(sim_.fault_rng() % 20000));
    switch (sim_.fault_rng() % 4) {
        case 0:
            controllers_.stall(i, span);
            break;
        case 1:
            injector_.partition_zone(sim_.fault_rng() % 2 ? "a" : "b",
                                     sim_.fault_rng() % controllers_.size(), span);
            break;
        case 2:
            for (auto& [host, w] : workers_) {
                if (w->gone() || sim_.fault_rng() % 3 != 0) continue;
                sim_.fault_rng() % 2 ? cloud_.take(host) : cloud_.fail(host);
            }
            break;
        default:
            network_.faults.kv_store_slow_until = sim_.clock.now() + span;
    }
}

}  // namespace dunebridge::sim
