#include "sim/controller_processes.hpp"

#include <algorithm>
#include <boost/functional/hash.hpp>
#include <chrono>
#include <cstdlib>
#include <iostream>

namespace dunebridge::sim {

using controller::Listener;
using sansio::HttpResponse;

namespace {
constexpr std::int64_t kWallStart = 1700000000000;
}  // namespace

ControllerProcesses::ControllerProcesses(Simulation& simulation, std::size_t count)
    : sim_(simulation), processes_(count) {
    for (auto& process : processes_) process.old_version = sim_.options.old_format > 0;
}

void ControllerProcesses::boot_all() {
    for (std::size_t i = 0; i < processes_.size(); ++i) boot(i);
}

void ControllerProcesses::boot(std::size_t i) {
    auto config = sim_.config;
    config.name = ControllerName("node-" + std::to_string(i));
    config.peers.clear();
    for (std::size_t j = 0; j < processes_.size(); ++j) {
        if (j == i) continue;
        const auto name = "node-" + std::to_string(j);
        config.peers.push_back({ControllerName(name), "a", name});
    }
    auto& process = processes_[i];
    if (process.old_version) config.newest_record_format = sim_.options.old_format;
    const bool verbose = std::getenv("SIM_LOG") != nullptr;
    process.controller = std::make_unique<controller::Controller>(
        config, sim_.rng(), verbose ? sansio::LogLevel::debug : sansio::LogLevel::info);
    process.incarnation = ++incarnations_;
    process.queue.clear();
    process.waiting.clear();
    process.step_planned = false;
    step(i);
}

void ControllerProcesses::crash(std::size_t i, Millis down) {
    auto& process = processes_[i];
    if (!process.controller) return;
    process.controller.reset();
    process.incarnation = 0;
    process.waiting.clear();
    sim_.clock.after(down, [this, i] {
        if (!processes_[i].controller) boot(i);
    });
}

void ControllerProcesses::deliver(std::size_t i, controller::Command c) {
    auto& process = processes_[i];
    if (!process.controller) return;
    process.queue.push_back(std::move(c));
    if (process.step_planned) return;
    process.step_planned = true;
    sim_.clock.after(Millis(1), [this, i, incarnation = process.incarnation] {
        if (processes_[i].incarnation == incarnation) step(i);
    });
}

void ControllerProcesses::stall(std::size_t i, Millis span) {
    if (i < processes_.size()) processes_[i].stalled_until = sim_.clock.now() + span;
}

void ControllerProcesses::step(std::size_t i) {
    auto& process = processes_[i];
    if (!process.controller) return;
    if (sim_.clock.now() < process.stalled_until) {
        process.step_planned = true;
        sim_.clock.at(process.stalled_until, [this, i, incarnation = process.incarnation] {
            if (processes_[i].incarnation == incarnation) step(i);
        });
        return;
    }
    process.step_planned = false;
    std::vector<controller::Command> batch;
    batch.swap(process.queue);
    const auto wall = kWallStart + sim_.clock.now().time_since_epoch().count() +
                      static_cast<std::int64_t>(i) * 100 - 100;
    const auto step_start = std::chrono::steady_clock::now();
    auto effects = process.controller->apply(std::move(batch), sim_.clock.now(), wall);
    const std::chrono::duration<double> taken = std::chrono::steady_clock::now() - step_start;
    record_cost(taken.count(), effects);
    record_logs(i, effects);
    add_to_digest(i, effects);
    respond(process, effects.responses);
    for (auto& c : effects.calls) transport_(i, std::move(c));
    wake_when_due(i);
}

void ControllerProcesses::wake_when_due(std::size_t i) {
    const auto wake = processes_[i].controller->wake();
    if (wake == Instant::max()) return;
    sim_.clock.at(std::max(wake, sim_.clock.now() + Millis(1)),
                  [this, i, incarnation = processes_[i].incarnation] {
                      auto& process = processes_[i];
                      if (process.incarnation != incarnation || process.step_planned) return;
                      if (process.controller->wake() <= sim_.clock.now()) step(i);
                  });
}

void ControllerProcesses::respond(Process& process,
                                  const std::vector<sansio::HttpResponse>& responses) {
    for (const auto& response : responses) {
        const auto it = process.waiting.find(response.id);
        if (it == process.waiting.end()) continue;
        const auto then = std::move(it->second);
        process.waiting.erase(it);
        then(response);
    }
}

void ControllerProcesses::record_logs(std::size_t i, const sansio::Effects& effects) {
    const bool verbose = std::getenv("SIM_LOG") != nullptr;
    for (const auto& line : effects.logs) {
        if (line.text.find("event=elected") != std::string::npos) ++sim_.statistics.terms;
        if (!verbose) continue;
        std::cerr << to_seconds(sim_.clock.now().time_since_epoch()) << " node-" << i << " "
                  << line.text << "\n";
    }
}

void ControllerProcesses::record_cost(double processor_s, const sansio::Effects& effects) {
    auto& cost = sim_.statistics.controller_cost;
    ++cost.steps;
    cost.processor_s += processor_s;
    cost.longest_step_s = std::max(cost.longest_step_s, processor_s);
    for (const auto& call : effects.calls) cost.bytes += call.body.size();
    for (const auto& answer : effects.responses) cost.bytes += answer.body.size();
}

void ControllerProcesses::add_to_digest(std::size_t index, const sansio::Effects& effects) {
    const auto add = [this](const auto& value) {
        boost::hash_combine(sim_.statistics.digest, value);
    };
    for (const auto& call : effects.calls) {
        add(index);
        add(sim_.clock.now().time_since_epoch().count());
        add(static_cast<int>(call.destination));
        add(call.endpoint);
        add(call.method);
        add(call.target);
        add(call.body);
        add(call.timeout.count());
    }
    for (const auto& answer : effects.responses) {
        add(answer.id.get());
        add(answer.status);
        add(answer.body);
        add(static_cast<int>(answer.retry_after.count()));
    }
}

void ControllerProcesses::request(std::size_t i, Listener listener, const std::string& method,
                                  const std::string& target, const std::string& body,
                                  ResponseHandler then) {
    auto& process = processes_[i];
    if (!process.controller) return;
    const RequestId id(++next_request_);
    process.waiting.emplace(id, std::move(then));
    deliver(i, controller::Request{id, listener, method, target, body, false});
}

std::size_t ControllerProcesses::leader() const {
    for (std::size_t i = 0; i < processes_.size(); ++i) {
        if (processes_[i].controller && processes_[i].controller->is_active_leader()) return i;
    }
    return processes_.size();
}

std::size_t ControllerProcesses::named(const std::string& name) const {
    for (std::size_t i = 0; i < processes_.size(); ++i) {
        if (name == "node-" + std::to_string(i)) return i;
    }
    return processes_.size();
}

}  // namespace dunebridge::sim
