/// \file
/// Moving average of the number of cores in use.
#pragma once

#include "sansio/context.hpp"
#include "state/cluster_state.hpp"

namespace dunebridge::provisioning {

/// Exponential moving average of the cores allocated to placed tasks, over about the last minute.
/// The fleet is sized by this average, so that a short dip in load releases no machines.
class LoadAverage {
  public:
    /// The objects passed by reference must outlive it.
    LoadAverage(const sansio::Context& context, state::ClusterState& cluster_state)
        : context_(context), state_(cluster_state) {}

    /// Resets the average for a new term: the next observation becomes the average.
    void reset() { last_observation_ = Instant{}; }
    /// Adds the number of cores that are in use now to the average.
    void observe();
    /// Returns the average, in cores.
    double cores() const { return cores_; }

  private:
    const sansio::Context& context_;
    state::ClusterState& state_;
    Instant last_observation_{};
    double cores_ = 0;
};

}  // namespace dunebridge::provisioning
