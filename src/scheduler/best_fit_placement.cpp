#include "scheduler/best_fit_placement.hpp"

namespace dunebridge::scheduler {

using state::Job;

std::size_t BestFitPlacement::place(Job& job, std::size_t max_tasks) {
    if (max_tasks == 0) return 0;
    const bool shape_is_sufficient = !has_zone_constraint(job);
    const auto shape = shape_of(job);
    if (shape_is_sufficient && unplaceable_shapes_.contains(shape)) return 0;
    const auto ranking = best_fit(
        capacities_.capacities(), job.task_resources(),
        [&](MachineIndex index) { return is_eligible(job, capacities_.machine(index)); },
        [&](MachineIndex index) {
            return capacities_.machine(index).worker.images.contains(job.spec.image);
        });
    std::size_t placed = 0;
    for (const auto index : ranking) {
        placed += place_on_machine(job, index, max_tasks - placed);
        if (placed == max_tasks) return placed;
    }
    if (shape_is_sufficient) unplaceable_shapes_.insert(shape);
    return placed;
}

// Places tasks of the job on the machine until none fits or `max_tasks` are placed. Returns the
// number of tasks placed.
std::size_t BestFitPlacement::place_on_machine(Job& job, MachineIndex index,
                                               std::size_t max_tasks) {
    const auto need = job.task_resources();
    auto& machine = capacities_.machine(index);
    const auto& capacity = capacities_.capacities()[index];
    std::size_t placed = 0;
    while (placed < max_tasks && capacity.free.holds(need) &&
           capacity.free_after_stops.holds(need)) {
        // Each placement changes the zones in which the job's next task may run.
        if (has_zone_constraint(job) && !is_eligible(job, machine)) break;
        state_.place(job, machine);
        capacities_.allocate(index, need);
        ++placed;
    }
    return placed;
}

}  // namespace dunebridge::scheduler
