// The faults that come by chance in the simulated world.
#include <algorithm>

#include "sim/simulated_cluster.hpp"

namespace dunebridge::sim {

void SimulatedCluster::plan_fault() {
    const auto mean = options_.fault_every_s * 1000;
    clock_.after(Millis(static_cast<std::int64_t>(mean / 2) +
                        static_cast<std::int64_t>(rng_() % static_cast<std::uint64_t>(mean))),
                 [this] {
                     if (clock_.now() > faults_end_) return;
                     fault();
                     plan_fault();
                 });
}

// What a fault is drawn with.
struct SimulatedCluster::Fault {
    std::size_t node = 0;
    Cut cut = Cut::drop;
    Millis span{};
    Instant until{};
};

FakeWorker* SimulatedCluster::any_worker() {
    std::vector<FakeWorker*> alive;
    for (auto& [host, worker] : workers_) {
        if (!worker->gone()) alive.push_back(worker.get());
    }
    return alive.empty() ? nullptr : alive[rng_() % alive.size()];
}

Millis SimulatedCluster::short_restart() {
    return Millis(100 + static_cast<std::int64_t>(rng_() % 4000));
}

// Cuts the node off from those named.
SimulatedCluster::FaultAction SimulatedCluster::cut_node_from(bool state, bool nodes,
                                                              bool workers) {
    return [state, nodes, workers](SimulatedCluster& world, const Fault& fault) {
        auto& node = world.nodes_[fault.node];
        if (state) node.from_state = fault.cut;
        if (nodes) node.from_nodes = fault.cut;
        if (workers) node.from_workers = fault.cut;
        node.cut_until = fault.until;
    };
}

// Of controllers, the state service and the cloud.
std::vector<SimulatedCluster::FaultAction> SimulatedCluster::service_faults() {
    return {
        [](SimulatedCluster& world, const Fault& fault) {
            world.crash(fault.node, world.short_restart());
        },
        [](SimulatedCluster& world, const Fault&) {
            for (std::size_t n = 0; n < world.nodes_.size(); ++n) {
                world.crash(n, world.short_restart());
            }
        },
        cut_node_from(true, false, false),
        cut_node_from(false, false, true),
        cut_node_from(true, true, true),
        [](SimulatedCluster& world, const Fault& fault) {
            world.nodes_[fault.node].refused = true;
            world.nodes_[fault.node].cut_until = fault.until;
        },
        [](SimulatedCluster& world, const Fault& fault) { world.kv_store_outage(fault.span / 2); },
        [](SimulatedCluster& world, const Fault& fault) {
            world.cloud_.set_outage(true);
            world.clock_.after(fault.span, [&world] { world.cloud_.set_outage(false); });
        }};
}

// Of machines and of what passes between them and the controllers.
std::vector<SimulatedCluster::FaultAction> SimulatedCluster::machine_faults() {
    return {
        [](SimulatedCluster& world, const Fault& fault) {
            if (auto* worker = world.any_worker()) {
                world.worker_cuts_[worker->host()] = {fault.cut, fault.until};
            }
        },
        [](SimulatedCluster& world, const Fault& fault) {
            if (auto* worker = world.any_worker()) worker->hang(fault.span);
        },
        [](SimulatedCluster& world, const Fault&) { world.preempt_with_notice(); },
        [](SimulatedCluster& world, const Fault&) {
            auto* worker = world.any_worker();
            if (!worker) return;
            world.rng_() % 2 ? world.cloud_.take(worker->host())
                             : world.cloud_.fail(worker->host());
        },
        [](SimulatedCluster& world, const Fault& fault) {
            world.lost_responses_ = 0.1;
            world.clock_.after(fault.span, [&world] { world.lost_responses_ = 0; });
        },
        [](SimulatedCluster& world, const Fault& fault) {
            world.commands_delayed_until_ = fault.until;
        },
        [](SimulatedCluster& world, const Fault& fault) {
            if (auto* worker = world.any_worker()) {
                world.worker_cuts_[worker->host()] = {Cut::unresponsive, fault.until + fault.span};
            }
        },
        cut_node_from(true, true, false),
        [](SimulatedCluster& world, const Fault& fault) {
            world.restart_again_and_again(fault.node);
        },
        [](SimulatedCluster& world, const Fault& fault) {
            auto* worker = world.any_worker();
            if (!worker) return;
            worker->set_faulty(true);
            world.clock_.after(fault.span, [worker] { worker->set_faulty(false); });
        }};
}

// Every fault that may be drawn, each as likely as the others.
const std::vector<SimulatedCluster::FaultAction>& SimulatedCluster::faults() {
    static const std::vector<FaultAction> all = [] {
        auto faults = service_faults();
        for (auto& fault : machine_faults()) faults.push_back(std::move(fault));
        return faults;
    }();
    return all;
}

void SimulatedCluster::preempt_with_notice() {
    constexpr Millis notice{8000};
    auto* worker = any_worker();
    if (!worker) return;
    worker->set_notice(clock_.now() + notice);
    clock_.after(notice, [this, host = worker->host()] { cloud_.take(host); });
}

// Back within a fraction of a second, and again while others still elect.
void SimulatedCluster::restart_again_and_again(std::size_t node) {
    for (int n = 0; n < 4; ++n) {
        clock_.after(Millis(900 * n), [this, node] {
            crash(node, Millis(50 + static_cast<std::int64_t>(rng_() % 300)));
        });
    }
}

void SimulatedCluster::fault() {
    // The leader's troubles are the interesting ones.
    auto node = rng_() % nodes_.size();
    for (std::size_t n = 0; n < nodes_.size(); ++n) {
        if (nodes_[n].core && nodes_[n].core->leads() && rng_() % 2) node = n;
    }
    const Millis span(2000 + static_cast<std::int64_t>(rng_() % 25000));
    const auto until = clock_.now() + span;
    const auto cut = rng_() % 2 ? Cut::hold : Cut::drop;
    const Fault drawn{node, cut, span, until};
    faults()[rng_() % faults().size()](*this, drawn);
    heal_at(until, node);
}

// The node's interruptions end, unless a later one goes on for longer.
void SimulatedCluster::heal_at(Instant until, std::size_t i) {
    clock_.at(until, [this, i] {
        auto& n = nodes_[i];
        if (clock_.now() < n.cut_until) return;
        n.from_state = n.from_workers = n.from_nodes = Cut::none;
        n.refused = false;
    });
}

void SimulatedCluster::plan_severe_faults() {
    const auto mean = static_cast<std::uint64_t>(std::max(options_.fault_every_s, 4.0) * 2000);
    clock_.after(Millis(static_cast<std::int64_t>(mean / 2 + severe_fault_rng_() % mean)), [this] {
        if (clock_.now() > faults_end_) return;
        inject_severe_fault();
        plan_severe_faults();
    });
}

void SimulatedCluster::inject_severe_fault() {
    auto i = leader();
    if (i == nodes_.size() || severe_fault_rng_() % 3 == 0) i = severe_fault_rng_() % nodes_.size();
    const Millis span(1000 + static_cast<std::int64_t>(severe_fault_rng_() % 20000));
    switch (severe_fault_rng_() % 4) {
        case 0:
            nodes_[i].stalled_until = clock_.now() + span;
            break;
        case 1:
            cut_zone(severe_fault_rng_() % 2 ? "a" : "b", severe_fault_rng_() % nodes_.size(),
                     span);
            break;
        case 2:
            for (auto& [host, w] : workers_) {
                if (w->gone() || severe_fault_rng_() % 3 != 0) continue;
                severe_fault_rng_() % 2 ? cloud_.take(host) : cloud_.fail(host);
            }
            break;
        default:
            kv_store_slow_until_ = clock_.now() + span;
    }
}

}  // namespace dunebridge::sim
