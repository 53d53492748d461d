#include "sim/simulated_network.hpp"

#include <algorithm>

namespace dunebridge::sim {

using controller::Listener;
using sansio::Destination;
using sansio::HttpCall;
using sansio::HttpResponse;
using sansio::HttpResult;

namespace {
MachineName host_of(const std::string& endpoint) {
    return MachineName(endpoint.substr(std::string("worker:").size()));
}
}  // namespace

SimulatedNetwork::SimulatedNetwork(Simulation& simulation, ControllerProcesses& controllers,
                                   FakeKvStore& kv_store, FakeCloud& cloud, Machines& machines)
    : sim_(simulation),
      controllers_(controllers),
      kv_store_(kv_store),
      cloud_(cloud),
      workers_(machines),
      links_(controllers.size()) {}

Millis SimulatedNetwork::latency() { return Millis(1 + static_cast<std::int64_t>(sim_.rng() % 4)); }

LinkFault& SimulatedNetwork::link_fault(ControllerLinks& links, Destination service) {
    if (service == Destination::worker) return links.workers;
    if (service == Destination::peer) return links.peers;
    return links.kv_store;
}

// A worker that is partitioned cannot be connected to; while responses are lost or commands
// delayed, connections also fail by chance.
bool SimulatedNetwork::connection_refused(const std::string& endpoint) {
    const auto how = worker_fault(host_of(endpoint));
    return (how != LinkFault::none && how != LinkFault::heartbeats_lost) ||
           (faults.lost_responses > 0 && sim_.rng() % 4 == 0) ||
           (sim_.clock.now() < faults.commands_delayed_until && sim_.rng() % 2 == 0);
}

void SimulatedNetwork::call(std::size_t i, HttpCall c) {
    auto& links = links_[i];
    const auto incarnation = controllers_.incarnation(i);
    const auto id = c.id;
    const auto answered = std::make_shared<bool>(false);
    const auto done = [this, i, incarnation, id, answered](const HttpResult& reply) {
        if (*answered || controllers_.incarnation(i) != incarnation) return;
        *answered = true;
        controllers_.deliver(i, controller::CallCompleted{id, reply});
    };
    const auto fault = link_fault(links, c.destination);
    // Without a connection a command is certainly not sent.
    if (c.destination == Destination::worker &&
        (connection_refused(c.endpoint) || fault != LinkFault::none) && sim_.rng() % 2) {
        sim_.clock.after(c.timeout, [done] { done(HttpResult(sansio::CallOutcome::not_sent)); });
        return;
    }
    sim_.clock.after(c.timeout, [done] { done(HttpResult(sansio::CallOutcome::no_response)); });
    const bool lose = c.destination != Destination::peer &&
                      std::uniform_real_distribution<>(0, 1)(sim_.rng) < faults.lost_responses;
    const auto deliver = [this, i, c, done, lose] {
        duplicate_request(i, c);
        const bool watch = c.target.starts_with("/watch");
        serve(i, c,
              [this, i, c, service = c.destination, done, lose, watch](const HttpResult& reply) {
                  if (service == Destination::worker && reply.ok()) repeat_executed_command(c);
                  if (lose || link_fault(links_[i], service) != LinkFault::none) return;
                  const auto delay =
                      latency() + (service == Destination::kv_store ? kv_store_delay() : Millis(0));
                  // Open watches of a controller that is refused alone go on waiting.
                  if (watch && links_[i].refused) return;
                  sim_.clock.after(delay, [done, reply] { done(reply); });
              });
    };
    if (fault == LinkFault::drop) return;
    if (c.destination == Destination::worker && sim_.clock.now() < faults.commands_delayed_until) {
        // Only commands are delayed: heartbeats and their responses go on meanwhile.
        sim_.clock.at(faults.commands_delayed_until + latency(), deliver);
        return;
    }
    // Delayed messages are delivered when the fault is over, however long ago they timed out.
    const auto when =
        fault == LinkFault::delay ? links.until + latency() : sim_.clock.now() + latency();
    sim_.clock.at(when, deliver);
}

// A request that was carried out arrives once more, up to three leases later; nobody reads the
// response.
void SimulatedNetwork::duplicate_request(std::size_t i, const HttpCall& c) {
    if (!sim_.options.severe_faults || c.method != "POST" || sim_.fault_rng() % 30 != 0) return;
    const auto span = static_cast<std::uint64_t>(sim_.config.worker_lease.count()) * 3;
    sim_.clock.after(Millis(5 + static_cast<std::int64_t>(sim_.fault_rng() % span)),
                     [this, i, c] { serve(i, c, [](const HttpResult&) {}); });
}

// Copies of a direct command that was executed and answered arrive at the machine, from some
// milliseconds to several leases later.
void SimulatedNetwork::repeat_executed_command(const HttpCall& c) {
    if (!sim_.occurs(faults.repeated_commands)) return;
    const auto lease = static_cast<std::uint64_t>(sim_.config.worker_lease.count());
    for (const auto longest : {std::uint64_t{300}, lease / 4, lease, 3 * lease}) {
        const Millis delay(1 + static_cast<std::int64_t>(sim_.fault_rng() % longest));
        sim_.clock.after(delay, [this, c] { deliver_repeated_command(c); });
    }
    for (const auto& command :
         wire::decode_commands(wire::Document::parse(c.body)->root()).commands) {
        if (command.kind == wire::CommandKind::start) executed_starts_[command.task].push_back(c);
    }
}

void SimulatedNetwork::repeat_commands_elsewhere(const MachineName& host, const TaskRef& task) {
    const auto it = executed_starts_.find(task);
    if (it == executed_starts_.end()) return;
    for (const auto& call : it->second) {
        if (host_of(call.endpoint) == host) continue;
        for (const Millis delay : {Millis(5), Millis(500), Millis(4000)}) {
            sim_.clock.after(delay, [this, call] { deliver_repeated_command(call); });
        }
    }
}

void SimulatedNetwork::deliver_repeated_command(const HttpCall& c) {
    const auto it = workers_.find(host_of(c.endpoint));
    if (it == workers_.end() || it->second->gone()) return;
    auto& worker = *it->second;
    if (worker.hanging()) {
        sim_.clock.at(worker.hang_until() + Millis(1), [this, c] { deliver_repeated_command(c); });
        return;
    }
    const auto commands = wire::decode_commands(wire::Document::parse(c.body)->root());
    const bool refused = !worker.commands(c.body).ok();
    if (commands.agent_epoch == worker.agent_epoch()) {
        on_repeated_command_(worker.host(), commands, refused);
    }
}

Millis SimulatedNetwork::kv_store_delay() {
    if (sim_.clock.now() >= faults.kv_store_slow_until) return Millis(0);
    return Millis(
        150 + static_cast<std::int64_t>(sim_.fault_rng() % (sim_.fault_rng() % 5 ? 400 : 3000)));
}

void SimulatedNetwork::carry_out_late(const HttpCall& c) {
    sim_.clock.after(Millis(2000 + static_cast<std::int64_t>(sim_.fault_rng() % 10000)), [this, c] {
        kv_store_.handle(c.method, c.target, c.body, [](const sansio::HttpResult&) {});
    });
}

void SimulatedNetwork::serve(std::size_t i, const HttpCall& c, FakeKvStore::Reply reply) {
    switch (c.destination) {
        case Destination::kv_store:
            return serve_kv_store(i, c, std::move(reply));
        case Destination::cloud:
            return reply(cloud_.handle(c.method, c.target, c.body));
        case Destination::peer:
            return serve_peer(c, reply);
        case Destination::worker:
            return serve_worker(i, c, reply);
    }
}

void SimulatedNetwork::serve_kv_store(std::size_t i, const HttpCall& c, FakeKvStore::Reply reply) {
    if (c.target == "/multi" && sim_.occurs(faults.delayed_transactions)) {
        carry_out_late(c);
        return;
    }
    if (c.target == "/multi" && sim_.occurs(faults.dropped_transaction_responses)) {
        kv_store_.handle(c.method, c.target, c.body, [](const HttpResult&) {});
        return;
    }
    if (links_[i].refused && !c.target.starts_with("/watch")) {
        reply({503, {}});
    } else if (!links_[i].refused) {
        kv_store_.handle(c.method, c.target, c.body, std::move(reply));
    }
}

void SimulatedNetwork::serve_peer(const HttpCall& c, const FakeKvStore::Reply& reply) {
    const auto to = controllers_.named(c.endpoint);
    if (links_[to].peers != LinkFault::none) return;
    controllers_.request(to, Listener::back, c.method, c.target, c.body,
                         [reply](const HttpResponse& a) {
                             reply({a.status, a.body});
                         });
}

void SimulatedNetwork::serve_worker(std::size_t i, const HttpCall& c,
                                    const FakeKvStore::Reply& reply) {
    const auto it = workers_.find(host_of(c.endpoint));
    if (it == workers_.end() || it->second->gone()) return;
    auto& worker = *it->second;
    const auto fault = worker_fault(worker.host());
    if (fault != LinkFault::none && fault != LinkFault::heartbeats_lost) {
        if (fault != LinkFault::delay) return;
        sim_.clock.at(worker_faults_[worker.host()].until,
                      [this, i, c, reply] { serve(i, c, reply); });
        return;
    }
    if (worker.hanging()) {
        sim_.clock.at(worker.hang_until() + Millis(1), [this, i, c, reply] { serve(i, c, reply); });
        return;
    }
    reply(worker.commands(c.body));
}

void SimulatedNetwork::send_heartbeat(const MachineName& host, std::size_t i,
                                      const std::string& body) {
    const auto sequence = workers_.at(host)->sequence();
    const auto deliver = [this, host, i, body, sequence] {
        if (links_[i].workers != LinkFault::none) return;
        controllers_.request(
            i, Listener::front, "POST", "/checkin", body,
            [this, host, i, sequence](const HttpResponse& a) {
                if (links_[i].workers != LinkFault::none || worker_fault(host) != LinkFault::none) {
                    return;
                }
                const HttpResult reply{a.status, a.body};
                sim_.clock.after(latency(), [this, host, sequence, reply] {
                    const auto it = workers_.find(host);
                    if (it != workers_.end()) it->second->heartbeat_answered(sequence, &reply);
                });
            });
    };
    duplicate_heartbeat(i, body);
    const auto fault = worker_fault(host);
    if (fault != LinkFault::none && fault != LinkFault::inbound_lost) {
        if (fault == LinkFault::delay)
            sim_.clock.at(worker_faults_[host].until + latency(), deliver);
        return;
    }
    sim_.clock.after(latency(), deliver);
}

// Now and then a copy of a heartbeat arrives late, by seconds to well over a lease, at any
// controller; by then the machine may be gone and another controller lead. Nobody reads the
// response.
void SimulatedNetwork::duplicate_heartbeat(std::size_t i, const std::string& body) {
    const bool drawn = sim_.options.fault_every_s > 0 && sim_.rng() % 40 == 0;
    if (!drawn && !sim_.occurs(faults.duplicated_heartbeats)) return;
    const auto span = static_cast<std::uint64_t>(sim_.config.worker_lease.count()) * 3;
    const auto to = sim_.rng() % 2 ? i : sim_.rng() % links_.size();
    sim_.clock.after(Millis(500 + static_cast<std::int64_t>(sim_.rng() % span)), [this, to, body] {
        controllers_.request(to, Listener::front, "POST", "/checkin", body,
                             [](const HttpResponse&) {});
    });
}

LinkFault SimulatedNetwork::worker_fault(const MachineName& host) const {
    const auto it = worker_faults_.find(host);
    return it == worker_faults_.end() || sim_.clock.now() >= it->second.until ? LinkFault::none
                                                                              : it->second.fault;
}

void SimulatedNetwork::heal_at(Instant until, std::size_t i) {
    sim_.clock.at(until, [this, i] {
        auto& links = links_[i];
        if (sim_.clock.now() < links.until) return;
        links.kv_store = links.workers = links.peers = LinkFault::none;
        links.refused = false;
    });
}

}  // namespace dunebridge::sim
