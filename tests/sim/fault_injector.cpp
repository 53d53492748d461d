#include "sim/fault_injector.hpp"

#include <algorithm>

namespace dunebridge::sim {

using controller::Listener;
using sansio::HttpResponse;

FaultInjector::FaultInjector(const ClusterParts& parts)
    : sim_(parts.simulation),
      controllers_(parts.controllers),
      network_(parts.network),
      users_(parts.users),
      workers_(parts.machines),
      kv_store_(parts.kv_store),
      cloud_(parts.cloud) {}

void FaultInjector::refuse(std::size_t i, Millis span) {
    if (i >= controllers_.size()) return;
    auto& links = network_.links(i);
    links.refused = true;
    links.until = std::max(links.until, sim_.clock.now() + span);
    network_.heal_at(links.until, i);
}

void FaultInjector::kv_store_outage(Millis span) {
    kv_store_.set_outage(true);
    sim_.clock.after(span, [this] { kv_store_.set_outage(false); });
}

void FaultInjector::lower_limits() {
    kv_store_.set_limits({sim_.config.kv_limits.rps(), sim_.config.kv_limits.write_rps(),
                          sim_.config.kv_limits.txn_ops(), sim_.config.kv_limits.value_bytes(),
                          20});
}

void FaultInjector::cancel_running(std::size_t jobs) {
    const auto leads = controllers_.leader();
    for (auto& [id, user] : users_.all()) {
        if (jobs == 0) return;
        if (user.terminal_phase || !user.accepted || user.cancel_requested ||
            user.first_start == Instant::max()) {
            continue;
        }
        --jobs;
        sim_.clock.after(
            Millis(static_cast<std::int64_t>(sim_.fault_rng() % 200)),
            [this, &user, leads] { users_.cancel_via(user, (leads + 1) % controllers_.size()); });
        sim_.clock.after(Millis(1500), [this, &user] { users_.cancel(user); });
    }
}

void FaultInjector::inject_invalid_requests(Millis span) {
    for (Millis at{0}; at < span; at += Millis(700)) {
        sim_.clock.after(at, [this] { send_invalid_request(); });
    }
}

void FaultInjector::send_invalid_request() {
    const auto node = sim_.fault_rng() % controllers_.size();
    auto& user = std::next(users_.all().begin(),
                           static_cast<std::ptrdiff_t>(sim_.fault_rng() % users_.all().size()))
                     ->second;
    const auto expect = [this](int status, const char* what) {
        return [this, status, what](const HttpResponse& a) {
            if (a.status != status && a.status != 503) {
                sim_.violated("invalid_request", fmt::format("{}: {}", what, a.status));
            }
        };
    };
    const auto id = fmt::format("req-8{:08}", ++invalid_requests_);
    auto spec = user.spec;
    spec.id = JobId(id);
    spec.dependencies.clear();
    const auto post = [&](const std::string& body, std::function<void(const HttpResponse&)> then) {
        controllers_.request(node, Listener::front, "POST", "/v1/jobs", body, std::move(then));
    };
    wire::Writer w;
    switch (sim_.fault_rng() % 4) {
        case 0:  // lacks every field but its name
            post(w.map(1).text("name_id").text(id).take(), expect(400, "lacks fields"));
            break;
        case 1:
            spec.cores = 500;
            wire::encode_job(w, spec);
            post(w.take(), expect(422, "fits no machine"));
            break;
        case 2:  // a known job, whatever the repeat carries
            if (user.accepted) {
                post(w.map(1).text("name_id").text(user.spec.id.get()).take(),
                     expect(200, "known"));
            }
            break;
        default:
            if (user.terminal_phase != wire::JobPhase::done) break;
            controllers_.request(
                node, Listener::front, "POST", "/v1/jobs/" + user.spec.id.get() + "/abort", {},
                [this, &user, late = expect(200, "cancels what is done")](const HttpResponse& a) {
                    late(a);
                    if (a.status == 200) users_.record_status(user, a);
                });
    }
}

void FaultInjector::poll_storm(int factor, Millis span) {
    constexpr Millis step{500};
    constexpr std::uint64_t steps_between_polls = 9;  // of a user who is not impatient
    if (span < step) return;
    for (auto& [id, user] : users_.all()) {
        if (!user.accepted) continue;
        for (int n = 1; n < factor; ++n) {
            if (sim_.fault_rng() % steps_between_polls != 0) continue;
            const Millis within(static_cast<std::int64_t>(
                sim_.fault_rng() % static_cast<std::uint64_t>(step.count())));
            sim_.clock.after(within, [this, &user, node = sim_.fault_rng() % controllers_.size()] {
                users_.repeat_request(user, node, "GET", "/v1/jobs/" + user.spec.id.get(), {},
                                      "storm");
            });
        }
    }
    sim_.clock.after(step, [this, factor, rest = span - step] { poll_storm(factor, rest); });
}

void FaultInjector::restart_workers(unsigned percent) {
    for (auto& [host, worker] : workers_) {
        if (!worker->gone() && sim_.fault_rng() % 100 < percent) worker->restart();
    }
}

void FaultInjector::fail_tasks(unsigned percent, Millis span) {
    for (auto& [host, worker] : workers_) {
        if (worker->gone() || sim_.fault_rng() % 100 >= percent) continue;
        fail_tasks_on(*worker, span);
    }
}

void FaultInjector::fail_tasks_on(FakeWorker& worker, Millis span) {
    worker.set_faulty(true);
    sim_.clock.after(span, [&worker] { worker.set_faulty(false); });
}

void FaultInjector::inject_worker_fault(WorkerFault how, unsigned percent, Millis span) {
    for (auto& [host, w] : workers_) {
        if (w->gone() || sim_.fault_rng() % 100 >= percent) continue;
        const auto until = sim_.clock.now() + span;
        switch (how) {
            case WorkerFault::unreachable:
                network_.set_worker_fault(host, LinkFault::drop, until);
                break;
            case WorkerFault::delayed:
                network_.set_worker_fault(host, LinkFault::delay, until);
                break;
            case WorkerFault::inbound_lost:
                network_.set_worker_fault(host, LinkFault::inbound_lost, until);
                break;
            case WorkerFault::heartbeats_lost:
                network_.set_worker_fault(host, LinkFault::heartbeats_lost, until);
                break;
            case WorkerFault::hung:
                w->hang(span);
        }
    }
}

void FaultInjector::kill_machines(unsigned percent) {
    for (auto& [host, w] : workers_) {
        if (w->gone() || sim_.fault_rng() % 100 >= percent) continue;
        sim_.fault_rng() % 2 ? cloud_.take(host) : cloud_.fail(host);
    }
}

void FaultInjector::stall_all_processes(Millis span) {
    for (std::size_t i = 0; i < controllers_.size(); ++i) controllers_.stall(i, span);
}

void FaultInjector::crash_leader(Millis down) {
    const auto i = controllers_.leader();
    if (i < controllers_.size()) controllers_.crash(i, down);
}

void FaultInjector::crash_all(Millis down) {
    for (std::size_t i = 0; i < controllers_.size(); ++i) controllers_.crash(i, down);
}

void FaultInjector::upgrade(std::size_t i, Millis down) {
    controllers_.mark_upgraded(i);
    controllers_.crash(i, down);
}

void FaultInjector::isolate_leader(Millis span) {
    const auto i = controllers_.leader();
    if (i == controllers_.size()) return;
    auto& links = network_.links(i);
    links.kv_store = links.peers = LinkFault::delay;
    links.until = sim_.clock.now() + span;
    sim_.clock.after(span, [this, i] {
        network_.links(i).kv_store = network_.links(i).peers = LinkFault::none;
    });
}

void FaultInjector::partition_zone(const std::string& zone, std::size_t i, Millis span) {
    const auto until = sim_.clock.now() + span;
    for (auto& [host, w] : workers_) {
        if (!w->gone() && w->zone() == zone)
            network_.set_worker_fault(host, LinkFault::delay, until);
    }
    partition_controller(i, {true, true, true}, LinkFault::delay, span);
}

void FaultInjector::partition_controller(std::size_t i, Links lost, LinkFault fault, Millis span) {
    if (i >= controllers_.size()) return;
    auto& links = network_.links(i);
    if (lost.kv_store) links.kv_store = fault;
    if (lost.peers) links.peers = fault;
    if (lost.workers) links.workers = fault;
    links.until = sim_.clock.now() + span;
    network_.heal_at(links.until, i);
}

}  // namespace dunebridge::sim
