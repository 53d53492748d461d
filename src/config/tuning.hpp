/// \file
/// Operators' own settings, from the optional XML file.
#pragma once

#include "base/types.hpp"
#include "wire/messages.hpp"

namespace dunebridge::config {

/// The defaults are those measured in docs/measurements.md.
struct Tuning {
    /// Jobs of this priority and above preempt best-effort jobs below it.
    wire::Priority min_preempting_priority = wire::Priority::urgent;
    Millis ranking_slack{2000};  ///< Added to a machine's earliest finish when machines are ranked.
    Millis leader_lease{3000};   ///< Time to live of the leader's lease.
    Millis idle_timeout{35000};  ///< A machine that has been idle for so long is scaled in.
    double headroom = 1.2;       ///< Capacity kept, as a multiple of the observed load.
};

}  // namespace dunebridge::config
