/// \file
/// Whether a machine's worker can be reached, as far as its heartbeats show.
#pragma once

#include <cstdint>

#include "base/types.hpp"
#include "config/config.hpp"
#include "coordination/election.hpp"
#include "sansio/context.hpp"
#include "state/machine.hpp"

namespace dunebridge::state {

/// Number of replies that may be lost one after the other before a machine counts as unresponsive.
inline constexpr std::uint32_t kMaxUnacknowledgedReplies = 3;

/// Returns true if the worker's heartbeats arrive, but it acknowledges none of the replies.
inline bool is_unresponsive(const Machine& machine) {
    return machine.worker.unacknowledged_replies >= kMaxUnacknowledgedReplies;
}

/// Answers questions about the worker of a machine at the present time. Has no state of its own.
///
/// Workers' heartbeats, scale-in and the scheduler share it, so that they agree on which machines
/// can be given work. The objects given to the constructor must outlive it.
class WorkerLiveness {
  public:
    WorkerLiveness(const sansio::Context& context, const coordination::Election& election,
                   const config::Config& config)
        : context_(context), election_(election), config_(config) {}

    /// Returns true if the machine can be given work now.
    ///
    /// Its worker must have shown a token of this term. A late copy of an earlier heartbeat could
    /// not show one, so the worker is there and replies reach it.
    bool is_schedulable(const Machine& machine) const;
    /// Returns true if the worker has shown a fencing token of this leader's term.
    bool has_acknowledged_current_term(const Machine& machine) const;
    /// Returns true if no heartbeat has arrived for longer than `limit`.
    bool is_silent(const Machine& machine, Millis limit) const;
    /// Returns true if two heartbeats in a row have not arrived.
    bool is_late(const Machine& machine) const;
    /// The least time for which heartbeats have arrived without acknowledging any reply; zero if
    /// the worker does acknowledge replies.
    Millis unresponsive_for(const Machine& machine) const;

  private:
    const sansio::Context& context_;
    const coordination::Election& election_;
    const config::Config& config_;
};

}  // namespace dunebridge::state
