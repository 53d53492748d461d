/// \file
/// Scheduling and scaling parameters from the operators' optional XML file.
#pragma once

#include "base/types.hpp"
#include "wire/messages.hpp"

namespace dunebridge::config {

/// Parameters that operators may change. docs/measurements.md contains the measurements on which
/// the defaults are based.
struct Tuning {
    /// Jobs of at least this priority preempt best-effort jobs of lower priority.
    wire::Priority min_preempting_priority = wire::Priority::urgent;
    Millis ranking_slack{2000};  ///< Added to the earliest finish of a machine in rankings.
    Millis leader_lease{3000};   ///< Time to live of the leader lease.
    Millis idle_timeout{35000};  ///< Machines that are idle for this long are scaled in.
    double headroom = 1.2;       ///< Capacity to provide, as a multiple of the observed load.
};

}  // namespace dunebridge::config
