#include "workers/command_dispatcher.hpp"

#include <algorithm>

#include "workers/fencing_token.hpp"

namespace dunebridge::workers {

using state::JobState;
using state::Machine;
using state::Placement;
using state::PlacementKey;
using state::StartDelivery;
using wire::Order;
using wire::TaskPhase;
using wire::Verb;

namespace {
constexpr std::size_t kMaxOrders = 250;
// To the next command to the machine, after one that was answered and one that was not.
constexpr Millis kSpacing{30};
constexpr Millis kPauseAfterLoss{2000};

bool unsent_to_stop(const Placement& placement) {
    return never_sent(placement) && must_stop(placement);
}
}  // namespace

CommandSender::CommandSender(sansio::Port& port, coordination::Election& election,
                             state::Ledger& ledger, const config::Config& config,
                             ReportProcessor& reports)
    : port_(port),
      election_(election),
      ledger_(ledger),
      reports_(reports),
      client_(port),
      max_in_flight_(config::SocketBudget(config.fd_limit).commands) {}

// ---- orders ----

// An attempt is cleared only when nothing still under way could start it once more. Returns whether
// the token must be raised: direct commands that were carried out may be repeated late, and would
// start again what is cleared. A higher token, in the very message that clears it, refuses them.
bool CommandSender::add_clears(const Machine& machine, std::vector<Order>& orders) const {
    const auto& worker = machine.worker;
    const bool shows_token = worker.shown == make_token(election_.term(), worker.fence);
    if (!shows_token || worker.command_in_flight) return false;
    bool raise = false;
    for (const auto& exited : worker.exited) {
        if (!ledger_.committed(exited.record, exited.outcome)) continue;
        orders.push_back({Verb::clear, exited.task, exited.attempt, 0});
        raise = raise || exited.refused_from > worker.fence;
    }
    return raise;
}

void CommandSender::add_stop(const Placement& placement, std::vector<Order>& orders) {
    const bool wanted =
        placement.job->state == JobState::open && !placement.job->tasks[placement.index].done;
    const double grace_s = wanted ? placement.grace_s : 0;
    if (placement.phase == TaskPhase::saving && grace_s != 0) return;
    orders.push_back({Verb::stop, placement.ref(), placement.attempt, grace_s});
}

// Whether a late repeat of a command could start the task's earlier attempt once more.
bool CommandSender::replaces_exited(const Machine& machine, const Placement& placement) {
    const auto& exited = machine.worker.exited;
    return std::any_of(exited.begin(), exited.end(), [&](const state::Exited& earlier) {
        return earlier.refused_from > machine.worker.fence && earlier.task == placement.ref();
    });
}

std::vector<Order> CommandSender::orders(Machine& machine, Channel channel) {
    const bool direct = channel == Channel::direct;
    std::vector<Order> out;
    std::vector<Placement*> started;
    bool raise = add_clears(machine, out);
    for (const auto& unexpected : machine.worker.unexpected_tasks) {
        out.push_back({Verb::stop, unexpected.task, unexpected.attempt, 0});
    }
    for (auto& [key, placement] : machine.tasks) {
        if (out.size() >= kMaxOrders) break;
        if (!placement.committed || placement.sent == StartDelivery::direct) continue;
        if (must_stop(placement)) {
            add_stop(placement, out);
            continue;
        }
        const bool settled = placement.seen || placement.sent == StartDelivery::settled;
        if (settled || unresponsive(machine)) continue;
        out.push_back({Verb::start, placement.ref(), placement.attempt, 0});
        raise = raise || replaces_exited(machine, placement);
        placement.sent = direct ? StartDelivery::direct : StartDelivery::checkin;
        placement.in_checkin_answer = placement.in_checkin_answer || !direct;
        placement.session = std::max(placement.session, machine.worker.last.session);
        started.push_back(&placement);
    }
    // Clearing alone can wait for the next check-in.
    const auto is_clear = [](const Order& order) { return order.verb == Verb::clear; };
    if (direct && std::all_of(out.begin(), out.end(), is_clear)) return {};
    if (raise) ++machine.worker.fence;
    if (direct) {
        for (auto* placement : started) placement->refused_from = machine.worker.fence + 1;
    }
    return out;
}

// ---- what was never sent is simply not sent ----

void CommandSender::drop(Machine& machine, bool (*condition)(const Placement&)) {
    std::vector<PlacementKey> unsent;
    for (const auto& [key, placement] : machine.tasks) {
        if (condition(placement)) unsent.push_back(key);
    }
    for (const auto& key : unsent) ledger_.remove(machine, key);
}

void CommandSender::drop_unsent_to_stop(Machine& machine) { drop(machine, unsent_to_stop); }

void CommandSender::drop_all_unsent(Machine& machine) { drop(machine, never_sent); }

// ---- direct commands ----

void CommandSender::tick() {
    for (auto* machine : ledger_.take_machines_needing_commands()) {
        auto& worker = machine->worker;
        worker.needs_commands = false;
        drop_unsent_to_stop(*machine);
        if (!worker.reported || machine->cloud.deleting || unresponsive(*machine)) continue;
        if (worker.command_in_flight) continue;  // its answer requests commands again
        if (in_flight_ >= max_in_flight_) {
            ledger_.request_commands(*machine);  // goes on when one of those under way has ended
        } else if (port_.now() >= worker.next_command_at) {
            send(*machine);
        } else {
            ledger_.request_commands(*machine);
            port_.wake_at(worker.next_command_at);
        }
    }
}

void CommandSender::send(Machine& machine) {
    const auto out = orders(machine, Channel::direct);
    if (out.empty()) return;
    machine.worker.command_in_flight = true;
    ++in_flight_;
    const auto token = make_token(election_.term(), machine.worker.fence);
    client_.send(machine, token, out,
                 [this, host = machine.host, term = election_.term()](const CommandResult& result) {
                     --in_flight_;
                     if (election_.is_leader() && election_.term() == term) answered(host, result);
                 });
}

void CommandSender::answered(const HostName& host, const CommandResult& result) {
    auto* machine = ledger_.find_machine(host);
    if (!machine) return;
    machine->worker.command_in_flight = false;
    for (auto& [key, placement] : machine->tasks) {
        if (placement.sent != StartDelivery::direct) continue;
        // Unsent, it changes nothing: the start may have gone another way, and be there already.
        const auto before =
            placement.in_checkin_answer ? StartDelivery::checkin : StartDelivery::never;
        placement.sent = result.unexecuted && !placement.seen ? before : StartDelivery::settled;
    }
    ledger_.request_commands(*machine);
    if (result.report) {
        reports_.apply(*machine, *result.report, Channel::direct);
        machine->worker.next_command_at = port_.now() + kSpacing;
        return;
    }
    if (!result.unexecuted) ++machine->worker.fence;
    machine->worker.next_command_at = port_.now() + kPauseAfterLoss;
}

}  // namespace dunebridge::workers
