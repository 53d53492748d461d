/// \file
/// Checks of whether a machine's worker is reachable, according to its heartbeats.
#pragma once

#include <cstdint>

#include "base/types.hpp"
#include "config/config.hpp"
#include "coordination/election.hpp"
#include "sansio/context.hpp"
#include "state/machine.hpp"

namespace dunebridge::state {

/// Number of consecutive unacknowledged replies at which a machine counts as unresponsive.
inline constexpr std::uint32_t kMaxUnacknowledgedReplies = 3;

/// Returns true if the worker's heartbeats arrive but it does not acknowledge the replies.
inline bool is_unresponsive(const Machine& machine) {
    return machine.worker.unacknowledged_replies >= kMaxUnacknowledgedReplies;
}

/// Stateless checks of a machine's worker at the current time.
///
/// Heartbeat processing, scale-in and the scheduler share them, so that they agree on which
/// machines can be given work. The objects passed to the constructor must outlive this one.
class WorkerLiveness {
  public:
    WorkerLiveness(const sansio::Context& context, const coordination::Election& election,
                   const config::Config& config)
        : context_(context), election_(election), config_(config) {}

    /// Returns true if the machine can be given work now.
    ///
    /// The worker must have sent a fencing token of this term. A delayed heartbeat of an earlier
    /// term cannot contain one, so the worker is alive and receives replies.
    bool is_schedulable(const Machine& machine) const;
    /// Returns true if a heartbeat of the worker contained a fencing token of the current term.
    bool has_acknowledged_current_term(const Machine& machine) const;
    /// Returns true if no heartbeat has arrived for longer than `limit`.
    bool is_silent(const Machine& machine, Millis limit) const;
    /// Returns true if two consecutive heartbeats are missing.
    bool is_late(const Machine& machine) const;
    /// Returns the minimum time for which heartbeats have arrived without acknowledging a reply;
    /// zero unless the worker is unresponsive.
    Millis unresponsive_for(const Machine& machine) const;

  private:
    const sansio::Context& context_;
    const coordination::Election& election_;
    const config::Config& config_;
};

}  // namespace dunebridge::state
