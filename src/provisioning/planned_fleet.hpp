/// \file
/// The fleet as it will be once a plan under construction is carried out.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "provisioning/scaling_plan.hpp"

namespace dunebridge::provisioning {

/// Counts the machines that are available or requested, and those that the plan adds or releases.
class PlannedFleet {
  public:
    /// Begins with the machines that are available and those requested before.
    explicit PlannedFleet(const ScalingInput& input);

    double cores() const { return cores_; }
    std::size_t machines_in_zone(const std::string& zone) const;
    /// What the plan requests so far, one step a pool, in the order in which pools were chosen.
    const std::vector<ScaleOutStep>& scale_out() const { return scale_out_; }
    /// Number of machines that the plan requests so far, over all pools.
    std::size_t requested() const { return requested_; }
    /// Whether the plan requests all that it may from a pool whose machines have not come up
    /// lately. Spot and on-demand machines of a type and zone share the limit.
    bool limit_reached(const ScalingInput& input, const InstancePool& pool) const;

    /// The plan requests another machine, of so many cores.
    void add(const InstancePool& pool, double cores);
    /// The plan releases a machine of so many cores.
    void remove(double cores) { cores_ -= cores; }

  private:
    void count_machines(const InstancePool& pool, double cores, std::size_t machines);

    double cores_ = 0;
    std::map<std::string, std::size_t> machines_by_zone_;
    std::vector<ScaleOutStep> scale_out_;
    std::size_t requested_ = 0;
};

}  // namespace dunebridge::provisioning
