#include "workers/workers.hpp"

#include <algorithm>

namespace dunebridge::workers {

using core::Job;
using core::JobState;
using core::LogLevel;
using core::Machine;
using core::Placement;
using core::PlacementKey;
using core::Sent;
using wire::ExitReason;
using wire::Order;
using wire::TaskPhase;
using wire::Verb;

namespace {
constexpr int kFenceBits = 20;
constexpr std::size_t kMostOrders = 250;
constexpr Millis kDirectTimeout{1500};
constexpr Millis kDirectPause{2000};
constexpr Millis kDirectSpacing{30};
constexpr Millis kRefusedPause{2000};
constexpr Millis kLeastPause{1000};
constexpr Millis kMostPause{30000};
constexpr std::size_t kJobsToCondemn = 2;
constexpr double kDrift = 1.002;
constexpr Millis kLeaseMargin{500};
constexpr Millis kLateMargin{500};
constexpr Millis kRememberDeleted{900000};
}  // namespace

Workers::Workers(core::Port& port, cluster::Election& election, core::Ledger& ledger,
                 const core::Config& config, std::function<void(const Finished&)> finished)
    : port_(port),
      election_(election),
      ledger_(ledger),
      config_(config),
      finished_(std::move(finished)) {}

void Workers::reset() { deleted_.clear(); }

Epoch Workers::epoch(const Machine& m) const {
    return Epoch(election_.term().get() << kFenceBits | m.fence);
}

bool Workers::silent(const Machine& m, Millis limit) const {
    return port_.now() - (m.reported ? m.last_report : m.known_since) > limit;
}

bool Workers::late(const Machine& m) const { return silent(m, config_.report * 2 + kLateMargin); }

bool Workers::usable(const Machine& m) const {
    return m.reported && !m.draining && !m.deleting && !m.failed && !m.taken_at &&
           port_.now() >= m.refused_until && !late(m);
}

void Workers::deleted(const HostName& host) {
    deleted_[host] = port_.now();
    std::erase_if(deleted_,
                  [&](const auto& d) { return port_.now() - d.second > kRememberDeleted; });
}

void Workers::halt(Machine& m, Placement& p, double drain_s) {
    if (p.halting) return;
    p.halting = true;
    p.drain_s = drain_s;
    m.wants_orders = true;
}

// ---- reports ----

void Workers::checkin(RequestId id, const wire::Report& report) {
    if (was_deleted(report.host)) {
        port_.answer(id, 503, wire::encode_error("returned"), 1);
        return;
    }
    auto* machine = ledger_.find_machine(report.host);
    if (!machine) {
        // Rented by a request whose answer was lost, or before this term: used, or returned idle.
        machine = &ledger_.add_machine(report.host, report.endpoint, report.shape, report.region,
                                       report.reclaimable);
        port_.log(LogLevel::info, "event=machine_unexpected host={}", report.host.get());
    }
    if (!apply(*machine, report, Source::checkin)) {
        port_.answer(id, 503, wire::encode_error("superseded"), 1);
        return;
    }
    machine->last_reply = port_.now();
    // The worker has given up on a report that newer ones overtook: it will not read the answer.
    std::vector<Order> out;
    if (machine->last == report.order) out = orders(*machine, false);
    port_.answer(id, 200, wire::encode_checkin_reply(epoch(*machine), out));
}

// Returns false if the report shows that this leader has been superseded.
bool Workers::apply(Machine& m, const wire::Report& r, Source source) {
    if (r.epoch > epoch(m)) {
        election_.depose(Term(r.epoch.get() >> kFenceBits));
        return false;
    }
    // A report that was held back tells of a past that newer ones have overtaken.
    if (m.reported && r.order <= m.last) return true;
    if (!m.reported) {
        port_.log(LogLevel::info, "event=machine_up host={} shape={} after_s={:.1f}", m.host.get(),
                  m.shape, to_seconds(port_.now() - m.rented_at));
        m.idle_since = port_.now();
    }
    const auto term_of = [](Epoch e) { return e.get() >> kFenceBits; };
    // Until the worker showed this term, an earlier holder could renew its lease.
    if (term_of(r.epoch) == election_.term().get() && term_of(m.shown) != term_of(r.epoch)) {
        m.last_reply = port_.now();
    }
    m.reported = true;
    ledger_.mark_up(m);
    m.starting = false;
    m.last = r.order;
    m.shown = r.epoch;
    m.last_report = port_.now();
    m.endpoint = r.endpoint;
    if (r.eviction_s) {
        const auto at = port_.now() + from_seconds(*r.eviction_s);
        if (!m.taken_at) {
            port_.log(LogLevel::info, "event=notice host={} in_s={:.1f}", m.host.get(),
                      *r.eviction_s);
        }
        m.taken_at = m.taken_at ? std::min(*m.taken_at, at) : at;
    }
    apply_listed(m, r);
    reconcile(m, r, source);
    return true;
}

// What the report lists is true whatever the epoch: an attempt that has exited stays exited.
void Workers::apply_listed(Machine& m, const wire::Report& r) {
    const auto known_exited = std::move(m.exited);
    m.exited.clear();
    m.strays.clear();
    for (const auto& t : r.tasks) {
        Job* job = ledger_.find_job(t.task.job);
        const auto it = job ? m.tasks.find({job->serial, t.task.index}) : m.tasks.end();
        const bool recorded = it != m.tasks.end() && it->second.attempt == t.attempt;
        if (t.phase != TaskPhase::exited) {
            if (!recorded) {
                m.strays.emplace_back(t.task, t.attempt);
                m.wants_orders = true;
                continue;
            }
            auto& p = it->second;
            p.seen = true;
            p.phase = t.phase;
            if (t.phase == TaskPhase::running) {
                ledger_.set_running(p, true);
                m.images.insert(job->spec.bundle);
            }
            continue;
        }
        core::Version outcome = ledger_.version();
        for (const auto& e : known_exited) {
            if (e.task == t.task && e.attempt == t.attempt) outcome = e.outcome;
        }
        if (recorded) {
            exited(m, it->second, t);
            outcome = ledger_.version();
        } else if (job && t.reason == ExitReason::done) {
            // Completed under a record that an earlier leader no longer held; the result counts.
            ledger_.mark_done(*job, t.task.index);
            outcome = std::max(outcome, ledger_.version());
        }
        m.exited.push_back({t.task, t.attempt, outcome});
    }
}

// What the report lacks is proof only if no command of an older epoch, no direct command under
// way and no check-in answer still to be delivered can yet start the task.
void Workers::reconcile(Machine& m, const wire::Report& r, Source source) {
    if (r.epoch != epoch(m)) return;
    std::vector<PlacementKey> gone;
    for (auto& [key, p] : m.tasks) {
        if (!p.committed || p.sent == Sent::never || p.sent == Sent::direct) continue;
        const bool listed = std::any_of(r.tasks.begin(), r.tasks.end(), [&](const auto& t) {
            return t.attempt == p.attempt && t.task.index == p.index &&
                   t.task.job == p.job->spec.id;
        });
        if (listed) {
            p.sent = Sent::settled;
            continue;
        }
        if (p.sent == Sent::checkin && source == Source::direct) continue;
        if (p.seen || must_halt(p)) {
            gone.push_back(key);
        } else {
            p.sent = Sent::never;  // the start was lost: it may be sent again
            m.wants_orders = true;
        }
    }
    for (const auto& key : gone) ledger_.remove(m, key);
}

void Workers::exited(Machine& m, Placement& p, const wire::TaskReport& t) {
    Job& job = *p.job;
    const auto index = p.index;
    const auto key = PlacementKey{job.serial, index};
    port_.log(LogLevel::debug, "event=task_exited task={} try={} why={} host={}", t.task.str(),
              t.attempt.get(), static_cast<int>(t.reason), m.host.get());
    switch (t.reason) {
        case ExitReason::done:
            if (p.running_since != Instant{}) {
                finished_({&job, &m, to_seconds(port_.now() - p.running_since)});
            }
            m.errors.clear();
            job.pause = Millis(0);
            ledger_.mark_done(job, index);
            break;
        case ExitReason::error:
            failed(m, p);
            break;
        case ExitReason::full:
            m.refused_until = port_.now() + kRefusedPause;
            break;
        case ExitReason::busy:
        case ExitReason::unknown:
            job.pause = std::clamp(job.pause * 2, kLeastPause, kMostPause);
            job.retry_at = port_.now() + job.pause;
            break;
        default:
            if (p.preempted) ledger_.mark_shielded(job, index);
    }
    ledger_.remove(m, key);
}

// Mostly the machine is faulty: then tasks of several jobs fail on it. A job with a mistake fails
// on every machine, and must not condemn them one after the other.
void Workers::failed(Machine& m, Placement& p) {
    Job& job = *p.job;
    job.failed_on.insert(m.host);
    job.pause = std::clamp(job.pause * 2, kLeastPause, kMostPause);
    job.retry_at = port_.now() + job.pause;
    if (job.failed_on.size() < 3) m.errors.insert(job.spec.id);
    if (m.errors.size() >= kJobsToCondemn && !m.draining) {
        m.draining = true;
        port_.log(LogLevel::info, "event=machine_faulty host={}", m.host.get());
    }
}

// ---- orders ----

bool Workers::must_halt(const Placement& p) const {
    return p.halting || p.job->state == JobState::ended || p.job->tasks[p.index].done;
}

std::vector<Order> Workers::orders(Machine& m, bool direct) {
    std::vector<Order> out;
    const bool sure = m.shown == epoch(m);
    // An attempt is cleared only when nothing still under way could start it once more.
    if (sure && !m.in_direct) {
        const auto upto = ledger_.committed();
        for (const auto& e : m.exited) {
            if (e.outcome <= upto) out.push_back({Verb::clear, e.task, e.attempt, 0});
        }
    }
    for (const auto& [task, attempt] : m.strays) out.push_back({Verb::halt, task, attempt, 0});
    for (auto& [key, p] : m.tasks) {
        if (out.size() >= kMostOrders) break;
        if (!p.committed || p.sent == Sent::direct) continue;
        if (must_halt(p)) {
            const bool wanted = p.job->state == JobState::open && !p.job->tasks[p.index].done;
            const double drain = wanted ? p.drain_s : 0;
            if (p.phase != TaskPhase::saving || drain == 0) {
                out.push_back({Verb::halt, p.ref(), p.attempt, drain});
            }
            continue;
        }
        if (p.seen || p.sent == Sent::settled) continue;
        out.push_back({Verb::start, p.ref(), p.attempt, 0});
        p.sent = direct ? Sent::direct : Sent::checkin;
    }
    return out;
}

// Commands that were never sent are simply not sent.
void Workers::drop_unsent(Machine& m) {
    std::vector<PlacementKey> unsent;
    for (const auto& [key, p] : m.tasks) {
        if (p.committed && p.sent == Sent::never && must_halt(p)) unsent.push_back(key);
    }
    for (const auto& key : unsent) ledger_.remove(m, key);
}

void Workers::send_direct(Machine& m) {
    m.wants_orders = false;
    auto out = orders(m, true);
    const bool urgent =
        std::any_of(out.begin(), out.end(), [](const Order& o) { return o.verb != Verb::clear; });
    if (!urgent) return;
    m.in_direct = true;
    port_.call(core::Service::worker, m.endpoint, "POST", "/commands",
               wire::encode_commands(epoch(m), m.last.tenure, out), kDirectTimeout,
               [this, host = m.host, term = election_.term()](const core::HttpReply& reply) {
                   if (election_.is_leader() && election_.term() == term) direct_done(host, reply);
               });
}

void Workers::direct_done(const HostName& host, const core::HttpReply& reply) {
    auto* m = ledger_.find_machine(host);
    if (!m) return;
    m->in_direct = false;
    const bool unexecuted = reply.status == -1 || reply.status == 409 || reply.status == 400;
    for (auto& [key, p] : m->tasks) {
        if (p.sent == Sent::direct) p.sent = unexecuted ? Sent::never : Sent::settled;
    }
    m->wants_orders = true;
    if (reply.status == 200 || reply.status == 409) {
        try {
            const auto doc = wire::Document::parse(reply.body);
            if (!doc) throw wire::DecodeError("not MessagePack");
            const auto report = wire::decode_report(doc->root());
            if (report.host == host) {
                apply(*m, report, Source::direct);
                m->direct_after = port_.now() + kDirectSpacing;
                return;
            }
        } catch (const wire::DecodeError& e) {
            port_.log(LogLevel::error, "event=bad_report host={} error=\"{}\"", host.get(),
                      e.what());
        }
    }
    // Without an answer the command may be executed minutes later. A higher epoch ends that, as
    // soon as the worker has seen it.
    if (!unexecuted) ++m->fence;
    m->direct_after = port_.now() + kDirectPause;
}

// ---- time ----

void Workers::expire_leases(Machine& m) {
    if (!m.reported || m.shown.get() >> kFenceBits != election_.term().get()) return;
    const auto lease =
        Millis(static_cast<std::int64_t>(static_cast<double>(config_.lease.count()) * kDrift)) +
        kLeaseMargin;
    if (port_.now() - m.last_reply <= lease) return;
    if (m.tasks.empty()) return;
    port_.log(LogLevel::info, "event=lease_over host={} tasks={}", m.host.get(), m.tasks.size());
    std::vector<PlacementKey> gone;
    for (const auto& [key, p] : m.tasks) {
        if (p.committed) gone.push_back(key);
    }
    for (const auto& key : gone) ledger_.remove(m, key);
}

void Workers::tick() {
    for (auto& [host, m] : ledger_.machines()) {
        expire_leases(m);
        if (!m.wants_orders) continue;
        drop_unsent(m);
        if (!m.reported || m.in_direct || m.deleting) continue;
        if (port_.now() >= m.direct_after) {
            send_direct(m);
        } else {
            port_.wake_at(m.direct_after);
        }
    }
}

}  // namespace dunebridge::workers
