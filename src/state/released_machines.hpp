/// \file
/// Machines that the cloud has deleted at this leader's request.
#pragma once

#include <map>

#include "base/types.hpp"
#include "sansio/context.hpp"

namespace dunebridge::state {

/// Remembers for a while which machines have been deleted.
///
/// Late heartbeats, late rows of the cloud's machine list and late answers to scale-out requests
/// may still name such a machine, and must not bring it back.
class ReleasedMachines {
  public:
    explicit ReleasedMachines(const sansio::Context& context) : context_(context) {}

    /// Records that the cloud has confirmed the deletion, and forgets old ones.
    void add(const MachineName& host);
    /// Returns true if the machine has been deleted lately.
    bool contains(const MachineName& host) const { return deleted_at_.contains(host); }
    /// Forgets all of them; to be called when a term begins.
    void clear() { deleted_at_.clear(); }

  private:
    const sansio::Context& context_;
    std::map<MachineName, Instant> deleted_at_;
};

}  // namespace dunebridge::state
