/// \file
/// Machines that the cloud has deleted at this leader's request.
#pragma once

#include <map>

#include "base/types.hpp"
#include "sansio/context.hpp"

namespace dunebridge::state {

/// Remembers for 15 minutes which machines have been deleted.
///
/// Delayed heartbeats, machine lists and responses to scale-out requests may still name such a
/// machine, and must not add it to the cluster state again.
class ReleasedMachines {
  public:
    /// The context must outlive this object.
    explicit ReleasedMachines(const sansio::Context& context) : context_(context) {}

    /// Adds a machine whose deletion the cloud has confirmed, and removes expired entries.
    void add(const MachineName& host);
    /// Returns true if the machine has been deleted recently.
    bool contains(const MachineName& host) const { return deleted_at_.contains(host); }
    /// Removes all entries. To be called when a term begins.
    void clear() { deleted_at_.clear(); }

  private:
    const sansio::Context& context_;
    std::map<MachineName, Instant> deleted_at_;
};

}  // namespace dunebridge::state
