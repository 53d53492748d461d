/// \file
/// Bin packing: the order in which machines are filled with the tasks of a job.
///
/// Tasks that require the same are decided as a class. Once the fullest machine has taken one, it
/// is fuller still, so best fit fills the machines one after the other in a single order.
#pragma once

#include <cstddef>
#include <functional>
#include <vector>

#include "base/resources.hpp"

namespace dunebridge::scheduler {

/// Position of a machine in the list of free capacities that is ranked.
using MachineIndex = std::size_t;

/// Free capacity of a machine.
struct FreeCapacity {
    Resources total;
    /// What no task takes now.
    Resources free;
    /// What will be free once the tasks that are being stopped are gone, less what is set aside for
    /// the tasks that they are stopped for.
    Resources free_after_stops;
};

/// Returns whether the job's constraints let a task run on the machine. Called only for machines
/// whose capacity is sufficient.
using IsEligible = std::function<bool(MachineIndex)>;
/// Returns whether the machine has the task's container image already. Called only for machines
/// that are ranked.
using HasImage = std::function<bool(MachineIndex)>;
/// Returns the time in seconds until the first of the machine's tasks is expected to end (the
/// paper's earliest available time plus slack). It ranks machines and decides nothing else.
using EarliestAvailable = std::function<double(MachineIndex)>;

/// Ranks the machines that can take a task now, the fullest first.
///
/// Among equally full machines, one that has the image comes first, then the smaller one.
std::vector<MachineIndex> best_fit(const std::vector<FreeCapacity>& machines, const Resources& need,
                                   const IsEligible& is_eligible, const HasImage& has_image);

/// Ranks the machines that can take a task once the tasks that are being stopped are gone, the one
/// that becomes available earliest first. For tasks that fit no machine now.
std::vector<MachineIndex> future_fit(const std::vector<FreeCapacity>& machines,
                                     const Resources& need, const IsEligible& is_eligible,
                                     const EarliestAvailable& earliest_available_s);

}  // namespace dunebridge::scheduler
