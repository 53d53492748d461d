#include "scheduler/best_fit_placement.hpp"

namespace dunebridge::scheduler {

using state::Job;

std::size_t BestFitPlacement::place(Job& job, std::size_t max_tasks) {
    if (max_tasks == 0) return 0;
    const bool shape_decides = !has_zone_constraint(job);
    const auto shape = shape_of(job);
    if (shape_decides && unplaceable_shapes_.contains(shape)) return 0;
    const auto order = best_fit(
        capacities_.capacities(), job.task_resources(),
        [&](MachineIndex index) { return is_eligible(job, capacities_.machine(index)); },
        [&](MachineIndex index) {
            return capacities_.machine(index).worker.images.contains(job.spec.image);
        });
    std::size_t placed = 0;
    for (const auto index : order) {
        placed += fill(job, index, max_tasks - placed);
        if (placed == max_tasks) return placed;
    }
    if (shape_decides) unplaceable_shapes_.insert(shape);
    return placed;
}

// Places tasks of the job on the machine while there is room for them.
std::size_t BestFitPlacement::fill(Job& job, MachineIndex index, std::size_t max_tasks) {
    const auto need = job.task_resources();
    auto& machine = capacities_.machine(index);
    const auto& capacity = capacities_.capacities()[index];
    std::size_t placed = 0;
    while (placed < max_tasks && capacity.free.holds(need) &&
           capacity.free_after_stops.holds(need)) {
        // Each task that is placed changes the zones in which the job's next one may be.
        if (has_zone_constraint(job) && !is_eligible(job, machine)) break;
        state_.place(job, machine);
        capacities_.allocate(index, need);
        ++placed;
    }
    return placed;
}

}  // namespace dunebridge::scheduler
