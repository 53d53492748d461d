/// \file
/// The fleet as it will be once the scaling plan that is being built has been executed.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "provisioning/scaling_plan.hpp"

namespace dunebridge::provisioning {

/// Counts the cores and machines that are available or requested, as changed by the plan.
class PlannedFleet {
  public:
    /// Starts with the available machines and those whose request the cloud has not answered yet.
    explicit PlannedFleet(const ScalingInput& input);

    /// Returns the number of cores of the planned fleet.
    double cores() const { return cores_; }
    /// Returns the number of machines of the planned fleet in the zone.
    std::size_t machines_in_zone(const std::string& zone) const;
    /// Returns the requests of the plan so far: one step per pool, in the order in which the pools
    /// were selected.
    const std::vector<ScaleOutStep>& scale_out() const { return scale_out_; }
    /// Returns the number of machines that the plan requests so far, over all pools.
    std::size_t requested() const { return requested_; }
    /// Returns true if the pool is unhealthy and the plan already requests as many machines as its
    /// limit allows. Spot and on-demand machines of the same type and zone share the limit.
    bool limit_reached(const ScalingInput& input, const InstancePool& pool) const;

    /// Adds a request for one machine with `cores` cores to the plan.
    void add(const InstancePool& pool, double cores);
    /// Subtracts the cores of a machine that the plan releases.
    void remove(double cores) { cores_ -= cores; }

  private:
    void count_machines(const InstancePool& pool, double cores, std::size_t machines);

    double cores_ = 0;
    std::map<std::string, std::size_t> machines_by_zone_;
    std::vector<ScaleOutStep> scale_out_;
    std::size_t requested_ = 0;
};

}  // namespace dunebridge::provisioning
