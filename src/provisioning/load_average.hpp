/// \file
/// The smoothed number of cores in use.
#pragma once

#include "sansio/context.hpp"
#include "state/cluster_state.hpp"

namespace dunebridge::provisioning {

/// Exponential average of the cores that placed tasks hold, over the last minute or so. The fleet
/// is sized by it, so that a short dip in load releases no machines.
class LoadAverage {
  public:
    /// The references must outlive it.
    LoadAverage(const sansio::Context& context, state::ClusterState& cluster_state)
        : context_(context), state_(cluster_state) {}

    /// Another term begins: the next observation is taken as the load, until more has been seen.
    void reset() { last_observation_ = Instant{}; }
    /// Takes the cores in use now into the average.
    void observe();
    double cores() const { return cores_; }

  private:
    const sansio::Context& context_;
    state::ClusterState& state_;
    Instant last_observation_{};
    double cores_ = 0;
};

}  // namespace dunebridge::provisioning
