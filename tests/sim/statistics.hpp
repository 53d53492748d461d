/// \file
/// Counters of a simulated scenario.
#pragma once

#include <cstddef>

namespace dunebridge::sim {

/// What the controllers have cost so far.
struct ControllerCost {
    double processor_s = 0;     ///< Time spent in the controllers' own code.
    double longest_step_s = 0;  ///< The longest single step of an event loop.
    std::size_t steps = 0;
    std::size_t bytes = 0;  ///< Of the bodies of calls and responses.
};

/// Counters that several parts of the simulation add to and that tests read.
struct Statistics {
    std::size_t tasks_started = 0;
    std::size_t terms = 0;  ///< Elections won.
    /// Hash of every call and response that the controllers have emitted, in order. Two builds that
    /// behave alike give the same one for a seed (tests/digest.cpp); log lines do not count.
    std::size_t digest = 0;
    /// Tasks that started after a user had been told that their job is cancelled.
    std::size_t starts_after_cancellation = 0;
    /// Those of them that were not on their way to the machine when the user was told.
    std::size_t starts_long_after_cancellation = 0;
    /// Copies of executed direct commands that arrived for the current epoch of a worker and were
    /// refused because of their fencing token.
    std::size_t repeated_commands_fenced = 0;
    /// Start commands in those copies whose task was on another machine by then, and those whose
    /// job's user had been told that it is cancelled.
    std::size_t repeated_starts_after_move = 0;
    std::size_t repeated_starts_after_cancellation = 0;
    /// Machines that the service scaled in while tasks were on them.
    std::size_t scaled_in_with_tasks = 0;
    ControllerCost controller_cost;
};

}  // namespace dunebridge::sim
