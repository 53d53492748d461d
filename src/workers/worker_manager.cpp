#include "workers/worker_manager.hpp"

#include <algorithm>
#include <utility>
#include <vector>

#include "workers/fencing_token.hpp"
#include "workers/worker_conditions.hpp"

namespace dunebridge::workers {

using sansio::LogLevel;
using state::Machine;
using state::Placement;
using state::PlacementKey;

namespace {
// Clocks of workers may run slower than this one's, by so much.
constexpr double kDrift = 1.002;
constexpr Millis kLeaseMargin{500};
constexpr Millis kLateMargin{500};
constexpr Millis kRememberDeleted{900000};
constexpr Millis kSweepEvery{250};
// A bound on memory only, several times the largest fleet: after an answer of the cloud was lost,
// or while the list is late, all machines may be unknown at once.
constexpr std::size_t kMaxUnknownWorkers = 20000;
constexpr Millis kForgetUnknownWorkers{60000};
constexpr int kRetryAfter_s = 1;
}  // namespace

Workers::Workers(sansio::Port& port, coordination::Election& election, state::Ledger& ledger,
                 const config::Config& config, std::function<void(const Finished&)> finished)
    : port_(port),
      election_(election),
      ledger_(ledger),
      config_(config),
      reports_(port, election, ledger, std::move(finished)),
      commands_(port, election, ledger, config, reports_) {}

void Workers::reset() {
    deleted_.clear();
    unknown_workers_.clear();
}

FencingToken Workers::token(const Machine& machine) const {
    return make_token(election_.term(), machine.worker.fence);
}

// ---- state of a machine ----

bool Workers::shown_this_term(const Machine& machine) const {
    return term_of(machine.worker.shown) == election_.term();
}

bool Workers::silent(const Machine& machine, Millis limit) const {
    const auto& worker = machine.worker;
    return port_.now() - (worker.reported ? worker.last_report : worker.known_since) > limit;
}

bool Workers::late(const Machine& machine) const {
    return silent(machine, config_.report * 2 + kLateMargin);
}

Millis Workers::unresponsive_for(const Machine& machine) const {
    return unresponsive(machine) ? port_.now() - machine.worker.unacknowledged_since : Millis(0);
}

bool Workers::usable(const Machine& machine) const {
    const auto& worker = machine.worker;
    const bool leaving = machine.draining || machine.cloud.deleting || machine.cloud.failed ||
                         machine.taken_at.has_value();
    const bool in_touch =
        worker.reported && shown_this_term(machine) && !late(machine) && !unresponsive(machine);
    // Direct commands do not renew the lease: without check-ins it runs out.
    const bool lease_lasts = port_.now() - worker.last_reply <= config_.lease / 2;
    return in_touch && !leaving && lease_lasts && port_.now() >= worker.refused_until;
}

void Workers::deleted(const HostName& host) {
    deleted_[host] = port_.now();
    std::erase_if(deleted_,
                  [&](const auto& d) { return port_.now() - d.second > kRememberDeleted; });
}

void Workers::stop(Machine& machine, Placement& placement, double grace_s) {
    if (placement.stopping) return;
    ledger_.set_stopping(placement);
    placement.grace_s = grace_s;
    ledger_.request_commands(machine);
}

// ---- check-ins ----

void Workers::refuse(RequestId id, const char* why) {
    port_.answer(id, 503, wire::encode_error(why), kRetryAfter_s);
}

void Workers::checkin(RequestId id, const wire::Report& report) {
    auto* machine = machine_of(id, report);
    if (!machine) return;
    auto& worker = machine->worker;
    // A worker's check-ins come in order, one at a time: this is a late copy, or one that it has
    // given up. Nobody waits for the answer, and it must not count as one.
    if (worker.reported && report.order <= worker.last_checkin) {
        refuse(id, "overtaken");
        return;
    }
    worker.last_checkin = report.order;
    if (!reports_.apply(*machine, report, Channel::checkin)) {
        refuse(id, "superseded");
        return;
    }
    count_unacknowledged(*machine);
    worker.last_reply = port_.now();
    // The worker has given up on a report that newer ones overtook: it will not read the answer.
    std::vector<wire::Order> orders;
    if (worker.last == report.order) orders = commands_.orders(*machine, Channel::checkin);
    port_.answer(id, 200, wire::encode_checkin_reply(token(*machine), orders));
}

// The machine that reports; null if the request is answered already.
Machine* Workers::machine_of(RequestId id, const wire::Report& report) {
    if (was_deleted(report.host)) {
        refuse(id, "returned");
        return nullptr;
    }
    if (auto* known = ledger_.find_machine(report.host)) return known;
    if (answer_unknown_worker(id, report)) return nullptr;
    // Rented by a request whose answer was lost, or before this term: used, or returned idle.
    port_.log(LogLevel::info, "event=machine_unexpected host={}", report.host.get());
    return &ledger_.add_machine(report.host, report.machine_type, report.zone, report.spot);
}

void Workers::count_unacknowledged(Machine& machine) const {
    auto& worker = machine.worker;
    if (worker.shown == token(machine)) {
        worker.unacknowledged = 0;
    } else if (worker.unacknowledged++ == 0) {
        worker.unacknowledged_since = port_.now();
    }
}

// A host that no record names: a late report of a machine that is long gone must not bring it
// back. It is given the token, and used once it shows it.
bool Workers::answer_unknown_worker(RequestId id, const wire::Report& report) {
    if (term_of(report.token) == election_.term()) {
        unknown_workers_.erase(report.host);
        return false;
    }
    if (unknown_workers_.size() >= kMaxUnknownWorkers && !unknown_workers_.contains(report.host)) {
        refuse(id, "too many unknown workers");
        return true;
    }
    unknown_workers_.try_emplace(report.host, port_.now());
    port_.answer(id, 200, wire::encode_checkin_reply(make_token(election_.term(), 0), {}));
    return true;
}

// ---- time ----

void Workers::expire_lease(Machine& machine) {
    if (!machine.worker.reported || !shown_this_term(machine)) return;
    const auto lease_ms = static_cast<double>(config_.lease.count()) * kDrift;
    const auto lease = Millis(static_cast<std::int64_t>(lease_ms)) + kLeaseMargin;
    if (port_.now() - machine.worker.last_reply <= lease || machine.tasks.empty()) return;
    port_.log(LogLevel::info, "event=lease_over host={} tasks={}", machine.host.get(),
              machine.tasks.size());
    std::vector<PlacementKey> gone;
    for (const auto& [key, placement] : machine.tasks) {
        if (placement.committed) gone.push_back(key);
    }
    for (const auto& key : gone) ledger_.remove(machine, key);
}

void Workers::sweep() {
    std::erase_if(unknown_workers_, [&](const auto& worker) {
        return port_.now() - worker.second > kForgetUnknownWorkers;
    });
    for (auto& [host, machine] : ledger_.machines()) {
        expire_lease(machine);
        if (unresponsive(machine)) commands_.drop_all_unsent(machine);
    }
}

void Workers::tick() {
    if (port_.now() >= next_sweep_) {
        next_sweep_ = port_.now() + kSweepEvery;
        sweep();
    }
    commands_.tick();
}

}  // namespace dunebridge::workers
