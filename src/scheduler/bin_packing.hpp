/// \file
/// Bin packing: the order in which the tasks of a job are placed on machines.
///
/// Tasks with the same requirements are ranked once, as a group. A machine that receives a task
/// becomes fuller and so remains the best fit, so one ranking is enough to fill the machines one
/// after another.
#pragma once

#include <cstddef>
#include <functional>
#include <vector>

#include "base/resources.hpp"

namespace dunebridge::scheduler {

/// Index of a machine in the vector of free capacities that is ranked.
using MachineIndex = std::size_t;

/// Free capacity of a machine.
struct FreeCapacity {
    /// The whole capacity of the machine.
    Resources total;
    /// Capacity that is not allocated to any task now.
    Resources free;
    /// Capacity that will be free once the tasks that are being stopped have exited, less the
    /// capacity already reserved for the tasks that preempted them.
    Resources free_after_stops;
};

/// Returns true if the job's constraints allow a task to run on the machine. Called only for
/// machines with sufficient capacity.
using IsEligible = std::function<bool(MachineIndex)>;
/// Returns true if the machine already has the task's container image. Called only for machines
/// that have sufficient capacity and are eligible.
using HasImage = std::function<bool(MachineIndex)>;
/// Returns the number of seconds until the first of the machine's tasks is expected to end, plus
/// slack. Used only to rank machines.
using EarliestAvailable = std::function<double(MachineIndex)>;

/// Returns the machines that can run a task now, the fullest first.
///
/// Among equally full machines, those that have the image come first, then the smaller ones. The
/// result is empty if the task fits no machine.
std::vector<MachineIndex> best_fit(const std::vector<FreeCapacity>& machines, const Resources& need,
                                   const IsEligible& is_eligible, const HasImage& has_image);

/// Returns the machines that can run a task once the tasks that are being stopped have exited, in
/// the order in which they are expected to become available. Used for tasks that fit no machine
/// now.
std::vector<MachineIndex> future_fit(const std::vector<FreeCapacity>& machines,
                                     const Resources& need, const IsEligible& is_eligible,
                                     const EarliestAvailable& earliest_available_s);

}  // namespace dunebridge::scheduler
