// The controllers of the simulated world, and all that passes between them and the others.
#include <algorithm>
#include <boost/functional/hash.hpp>
#include <chrono>
#include <cstdlib>
#include <iostream>

#include "sim/simulated_cluster.hpp"

namespace dunebridge::sim {

using controller::Listener;
using sansio::Destination;
using sansio::HttpCall;
using sansio::HttpResponse;
using sansio::HttpResult;

namespace {
constexpr std::int64_t kWallStart = 1700000000000;
}  // namespace

// ---- controllers ----

void SimulatedCluster::boot(std::size_t i) {
    auto config = config_;
    config.name = ControllerName("node-" + std::to_string(i));
    config.peers.clear();
    for (std::size_t j = 0; j < nodes_.size(); ++j) {
        if (j == i) continue;
        const auto name = "node-" + std::to_string(j);
        config.peers.push_back({ControllerName(name), "a", name});
    }
    auto& node = nodes_[i];
    if (node.old_version) config.newest_record_format = options_.old_format;
    const bool verbose = std::getenv("SIM_LOG") != nullptr;
    node.core = std::make_unique<controller::Controller>(
        config, rng_(), verbose ? sansio::LogLevel::debug : sansio::LogLevel::info);
    node.incarnation = ++incarnations_;
    node.queue.clear();
    node.waiting.clear();
    node.step_planned = false;
    step(i);
}

void SimulatedCluster::crash(std::size_t i, Millis down) {
    auto& node = nodes_[i];
    if (!node.core) return;
    node.core.reset();
    node.incarnation = 0;
    node.waiting.clear();
    clock_.after(down, [this, i] {
        if (!nodes_[i].core) boot(i);
    });
}

void SimulatedCluster::command(std::size_t i, controller::Command c) {
    auto& node = nodes_[i];
    if (!node.core) return;
    node.queue.push_back(std::move(c));
    if (node.step_planned) return;
    node.step_planned = true;
    clock_.after(Millis(1), [this, i, incarnation = node.incarnation] {
        if (nodes_[i].incarnation == incarnation) step(i);
    });
}

void SimulatedCluster::step(std::size_t i) {
    auto& node = nodes_[i];
    if (!node.core) return;
    if (clock_.now() < node.stalled_until) {
        node.step_planned = true;
        clock_.at(node.stalled_until, [this, i, incarnation = node.incarnation] {
            if (nodes_[i].incarnation == incarnation) step(i);
        });
        return;
    }
    node.step_planned = false;
    std::vector<controller::Command> batch;
    batch.swap(node.queue);
    const auto wall = kWallStart + clock_.now().time_since_epoch().count() +
                      static_cast<std::int64_t>(i) * 100 - 100;
    const auto has_started = std::chrono::steady_clock::now();
    auto effects = node.core->apply(std::move(batch), clock_.now(), wall);
    const std::chrono::duration<double> taken = std::chrono::steady_clock::now() - has_started;
    add_to_load(taken.count(), effects);
    for (const auto& line : effects.logs) {
        if (line.text.find("event=elected") != std::string::npos) ++terms_;
        if (std::getenv("SIM_LOG")) {
            std::cerr << to_seconds(clock_.now().time_since_epoch()) << " node-" << i << " "
                      << line.text << "\n";
        }
    }
    add_to_digest(i, effects);
    for (auto& a : effects.answers) {
        const auto it = node.waiting.find(a.id);
        if (it == node.waiting.end()) continue;
        const auto then = std::move(it->second);
        node.waiting.erase(it);
        then(a);
    }
    for (auto& c : effects.calls) call(i, std::move(c));
    const auto wake = node.core->wake();
    if (wake < Instant::max()) {
        clock_.at(std::max(wake, clock_.now() + Millis(1)), [this, i, inc = node.incarnation] {
            auto& n = nodes_[i];
            if (n.incarnation == inc && !n.step_planned && n.core->wake() <= clock_.now()) step(i);
        });
    }
}

void SimulatedCluster::add_to_load(double processor_s, const sansio::Effects& effects) {
    ++load_.steps;
    load_.processor_s += processor_s;
    load_.longest_step_s = std::max(load_.longest_step_s, processor_s);
    for (const auto& call : effects.calls) load_.bytes += call.body.size();
    for (const auto& answer : effects.answers) load_.bytes += answer.body.size();
}

void SimulatedCluster::add_to_digest(std::size_t node, const sansio::Effects& effects) {
    const auto add = [this](const auto& value) { boost::hash_combine(digest_, value); };
    for (const auto& call : effects.calls) {
        add(node);
        add(clock_.now().time_since_epoch().count());
        add(static_cast<int>(call.service));
        add(call.endpoint);
        add(call.method);
        add(call.target);
        add(call.body);
        add(call.timeout.count());
    }
    for (const auto& answer : effects.answers) {
        add(answer.id.get());
        add(answer.status);
        add(answer.body);
        add(answer.retry_after_s);
    }
}

Millis SimulatedCluster::latency() { return Millis(1 + static_cast<std::int64_t>(rng_() % 4)); }

SimulatedCluster::Cut& SimulatedCluster::cut_for(Node& node, Destination service) {
    if (service == Destination::worker) return node.from_workers;
    if (service == Destination::peer) return node.from_nodes;
    return node.from_state;
}

// The worker cannot be connected to now, as it is cut off; or, while answers get lost, by chance.
bool SimulatedCluster::unconnected(const std::string& endpoint) {
    const auto how = worker_cut(MachineName(endpoint.substr(std::string("worker:").size())));
    return (how != Cut::none && how != Cut::mute) || (lost_responses_ > 0 && rng_() % 4 == 0) ||
           (clock_.now() < commands_delayed_until_ && rng_() % 2 == 0);
}

void SimulatedCluster::call(std::size_t i, HttpCall c) {
    auto& node = nodes_[i];
    const auto incarnation = node.incarnation;
    const auto id = c.id;
    const auto answered = std::make_shared<bool>(false);
    const auto done = [this, i, incarnation, id, answered](const HttpResult& reply) {
        if (*answered || nodes_[i].incarnation != incarnation) return;
        *answered = true;
        command(i, controller::CallCompleted{id, reply});
    };
    const auto cut = cut_for(node, c.service);
    // Without a connection a command is certainly not sent.
    if (c.service == Destination::worker && (unconnected(c.endpoint) || cut != Cut::none) &&
        rng_() % 2) {
        clock_.after(c.timeout, [done] { done({HttpResult::kNotSent, {}}); });
        return;
    }
    clock_.after(c.timeout, [done] { done({HttpResult::kNoResponse, {}}); });
    const bool lose = c.service != Destination::peer &&
                      std::uniform_real_distribution<>(0, 1)(rng_) < lost_responses_;
    const auto deliver = [this, i, c, done, lose] {
        repeat_later(i, c);
        const bool watch = c.target.starts_with("/watch");
        serve(i, c, [this, i, service = c.service, done, lose, watch](const HttpResult& reply) {
            if (lose || cut_for(nodes_[i], service) != Cut::none) return;
            const auto delay =
                latency() + (service == Destination::state ? state_delay() : Millis(0));
            // Open watches of a node that is refused alone wait.
            if (watch && nodes_[i].refused) return;
            clock_.after(delay, [done, reply] { done(reply); });
        });
    };
    if (cut == Cut::drop) return;
    if (c.service == Destination::worker && clock_.now() < commands_delayed_until_) {
        // Held on the way out only: check-ins and their answers go on meanwhile.
        clock_.at(commands_delayed_until_ + latency(), deliver);
        return;
    }
    // Held messages are delivered when the interruption ends, however long ago they were given up.
    const auto when = cut == Cut::hold ? node.cut_until + latency() : clock_.now() + latency();
    clock_.at(when, deliver);
}

// A request that was carried out comes once more, by up to three leases later; nobody reads the
// answer.
void SimulatedCluster::repeat_later(std::size_t i, const HttpCall& c) {
    if (!options_.severe_faults || c.method != "POST" || severe_fault_rng_() % 30 != 0) return;
    const auto span = static_cast<std::uint64_t>(config_.worker_lease.count()) * 3;
    clock_.after(Millis(5 + static_cast<std::int64_t>(severe_fault_rng_() % span)),
                 [this, i, c] { serve(i, c, [](const HttpResult&) {}); });
}

Millis SimulatedCluster::state_delay() {
    if (clock_.now() >= kv_store_slow_until_) return Millis(0);
    return Millis(150 + static_cast<std::int64_t>(severe_fault_rng_() %
                                                  (severe_fault_rng_() % 5 ? 400 : 3000)));
}

void SimulatedCluster::serve(std::size_t i, const HttpCall& c, FakeKvStore::Reply reply) {
    if (c.service == Destination::state) {
        if (c.target == "/multi" && occurs(delayed_transactions_)) {
            serve_late(c);
            return;
        }
        if (c.target == "/multi" && occurs(dropped_transaction_responses_)) {
            state_.handle(c.method, c.target, c.body, [](const HttpResult&) {});
            return;
        }
        if (nodes_[i].refused && !c.target.starts_with("/watch")) {
            reply({503, {}});
        } else if (!nodes_[i].refused) {
            state_.handle(c.method, c.target, c.body, std::move(reply));
        }
    } else if (c.service == Destination::cloud) {
        reply(cloud_.handle(c.method, c.target, c.body));
    } else if (c.service == Destination::peer) {
        const auto to = node_named(c.endpoint);
        if (nodes_[to].from_nodes != Cut::none) return;
        request(to, Listener::back, c.method, c.target, c.body, [reply](const HttpResponse& a) {
            reply({a.status, a.body});
        });
    } else {
        const auto it =
            workers_.find(MachineName(c.endpoint.substr(std::string("worker:").size())));
        if (it == workers_.end() || it->second->gone()) return;
        auto& worker = *it->second;
        const auto cut = worker_cut(worker.host());
        if (cut != Cut::none && cut != Cut::mute) {
            const auto until = worker_cuts_[worker.host()].second;
            if (cut == Cut::hold) clock_.at(until, [this, i, c, reply] { serve(i, c, reply); });
            return;
        }
        if (worker.hanging()) {
            clock_.at(worker.hang_until() + Millis(1), [this, i, c, reply] { serve(i, c, reply); });
            return;
        }
        reply(worker.commands(c.body));
    }
}

void SimulatedCluster::request(std::size_t i, Listener plane, const std::string& method,
                               const std::string& target, const std::string& body,
                               std::function<void(const HttpResponse&)> then) {
    auto& node = nodes_[i];
    if (!node.core) return;
    const RequestId id(++next_request_);
    node.waiting.emplace(id, std::move(then));
    command(i, controller::Request{id, plane, method, target, body, false});
}

// ---- workers ----

std::size_t SimulatedCluster::node_named(const std::string& name) const {
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
        if (name == "node-" + std::to_string(i)) return i;
    }
    return nodes_.size();
}

void SimulatedCluster::send_heartbeat(const MachineName& host, std::size_t i,
                                      const std::string& body) {
    const auto sequence = workers_.at(host)->sequence();
    const auto deliver = [this, host, i, body, sequence] {
        if (nodes_[i].from_workers != Cut::none) return;
        request(i, Listener::front, "POST", "/checkin", body,
                [this, host, i, sequence](const HttpResponse& a) {
                    if (nodes_[i].from_workers != Cut::none || worker_cut(host) != Cut::none) {
                        return;
                    }
                    const HttpResult reply{a.status, a.body};
                    clock_.after(latency(), [this, host, sequence, reply] {
                        const auto it = workers_.find(host);
                        if (it != workers_.end()) it->second->heartbeat_answered(sequence, &reply);
                    });
                });
    };
    copy_later(i, body);
    const auto cut = worker_cut(host);
    if (cut != Cut::none && cut != Cut::unresponsive) {
        if (cut == Cut::hold) clock_.at(worker_cuts_[host].second + latency(), deliver);
        return;
    }
    clock_.after(latency(), deliver);
}

// Now and then a copy of a report comes late, by seconds to well over a lease, at any node; the
// machine may be gone by then, and the leader another. Nobody reads the answer.
void SimulatedCluster::copy_later(std::size_t i, const std::string& body) {
    const bool drawn = options_.fault_every_s > 0 && rng_() % 40 == 0;
    if (!drawn && !occurs(duplicated_heartbeats_)) return;
    const auto span = static_cast<std::uint64_t>(config_.worker_lease.count()) * 3;
    const auto to = rng_() % 2 ? i : rng_() % nodes_.size();
    clock_.after(Millis(500 + static_cast<std::int64_t>(rng_() % span)), [this, to, body] {
        request(to, Listener::front, "POST", "/checkin", body, [](const HttpResponse&) {});
    });
}

const wire::JobSpec* SimulatedCluster::description(const JobId& id) {
    const auto it = users_.find(id);
    return it == users_.end() ? nullptr : &it->second.spec;
}

Millis SimulatedCluster::run_time(const TaskRef& task) {
    const auto& user = users_.at(task.job);
    if (user.completed.contains(task.index)) return Millis(0);
    return from_seconds(user.spec.expected_s) * (50 + static_cast<std::int64_t>(rng_() % 100)) /
           100;
}

void SimulatedCluster::task_completed(const TaskRef& task) {
    auto& user = users_.at(task.job);
    user.completed.insert(task.index);
    if (user.completed.size() == user.spec.task_count && occurs(cancel_on_completion_))
        query_at_completion(user);
}

}  // namespace dunebridge::sim
