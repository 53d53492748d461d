#include "workers/reconciler.hpp"

#include <algorithm>
#include <vector>

#include "state/fencing_token.hpp"
#include "workers/placement_conditions.hpp"

namespace dunebridge::workers {

using state::Machine;
using state::make_token;
using state::Placement;
using state::PlacementKey;
using state::StartDelivery;
using state::term_of;
using wire::TaskStatus;
using wire::WorkerHeartbeat;

namespace {

bool lists_placement(const WorkerHeartbeat& heartbeat, const Placement& placement) {
    return std::any_of(heartbeat.tasks.begin(), heartbeat.tasks.end(), [&](const TaskStatus& task) {
        return task.attempt == placement.attempt && task.task.index == placement.index &&
               task.task.job == placement.job->spec.id;
    });
}

bool lists_attempt(const WorkerHeartbeat& heartbeat, Attempt attempt) {
    return std::any_of(heartbeat.tasks.begin(), heartbeat.tasks.end(),
                       [&](const TaskStatus& task) { return task.attempt == attempt; });
}

}  // namespace

void Reconciler::reconcile(Machine& machine, const WorkerHeartbeat& heartbeat,
                           ExchangeKind exchange) {
    const bool is_heartbeat = exchange == ExchangeKind::heartbeat;
    bool reply_lost = false;
    std::vector<PlacementKey> gone;
    for (auto& [key, placement] : machine.placements) {
        if (!placement.is_committed()) continue;
        // The worker has read the reply to its previous heartbeat or will never read it.
        if (is_heartbeat) placement.start.in_heartbeat_reply = false;
        switch (classify(machine, placement, heartbeat, exchange)) {
            case Finding::unknown:
                break;
            case Finding::present:
                placement.start.delivery = StartDelivery::awaiting_confirmation;
                break;
            case Finding::gone:
                gone.push_back(key);
                break;
            case Finding::start_lost:
                placement.start.delivery = StartDelivery::not_sent;
                reply_lost = reply_lost || (is_heartbeat && !machine.worker.command_in_flight);
                state_.request_commands(machine);
                break;
        }
    }
    // Raises the token, so that the worker's next heartbeat shows whether it received the reply.
    if (reply_lost) ++machine.worker.fence_counter;
    for (const auto& key : gone) state_.remove_placement(machine, key);
}

Reconciler::Finding Reconciler::classify(const Machine& machine, const Placement& placement,
                                         const WorkerHeartbeat& heartbeat,
                                         ExchangeKind exchange) const {
    if (was_forgotten(placement, heartbeat)) return Finding::gone;
    const auto delivery = placement.start.delivery;
    if (delivery == StartDelivery::not_sent || delivery == StartDelivery::in_direct_command)
        return Finding::unknown;
    const bool in_reply = delivery == StartDelivery::in_heartbeat_reply;
    // A worker reads the reply to a heartbeat before it builds the next heartbeat, or never. If the
    // next heartbeat does not list the task, the start command was lost, whatever token the
    // heartbeat carries.
    const bool start_was_in_previous_reply =
        in_reply && exchange == ExchangeKind::heartbeat && !placement.observed.seen;
    const bool shows_token =
        heartbeat.token == make_token(election_.term(), machine.worker.fence_counter);
    if (!shows_token && !start_was_in_previous_reply) return Finding::unknown;
    if (lists_placement(heartbeat, placement)) return Finding::present;
    // The reply with the start command may still be in transit.
    if (in_reply && exchange == ExchangeKind::direct_command) return Finding::unknown;
    // A task that an earlier leader placed is placed again rather than started: that leader may
    // have assigned the capacity and the quota to other tasks without having recorded that before
    // its term ended.
    const bool must_not_start =
        placement.observed.seen || must_stop(placement) || !is_of_this_term(placement);
    return shows_token && must_not_start ? Finding::gone : Finding::start_lost;
}

// Returns true if the task belonged to an earlier agent epoch and the worker has forgotten it. An
// earlier leader may have sent the start command to the current epoch; this is ruled out only once
// the worker has seen a token of this term.
bool Reconciler::was_forgotten(const Placement& placement, const WorkerHeartbeat& heartbeat) const {
    const auto epoch = placement.start.agent_epoch;
    if (epoch == 0 || heartbeat.order.agent_epoch <= epoch) return false;
    const bool shows_this_term = term_of(heartbeat.token) == election_.term();
    return (is_of_this_term(placement) || shows_this_term) &&
           !lists_attempt(heartbeat, placement.attempt);
}

bool Reconciler::is_of_this_term(const Placement& placement) const {
    return term_of(placement.attempt) == election_.term();
}

}  // namespace dunebridge::workers
