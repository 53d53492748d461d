#include "scheduler/capacity_table.hpp"

namespace dunebridge::scheduler {

using state::Machine;

namespace {
// Tolerance for floating-point rounding errors in sums of resource amounts.
constexpr double kRoundingError = 1e-6;
}  // namespace

void CapacityTable::build(double min_cores) {
    for (auto& [host, machine] : state_.machines()) {
        const double cores_after_stops =
            machine.capacity.cores - machine.allocated.cores + machine.releasing.cores;
        if (cores_after_stops + kRoundingError < min_cores) {
            full_machines_.push_back(&machine);
        } else if (liveness_.is_schedulable(machine)) {
            add(machine);
        }
    }
}

void CapacityTable::add_full_machines() {
    for (auto* machine : full_machines_) {
        if (liveness_.is_schedulable(*machine)) add(*machine);
    }
}

void CapacityTable::clear() {
    machines_.clear();
    capacities_.clear();
    full_machines_.clear();
}

void CapacityTable::add(Machine& machine) {
    FreeCapacity capacity{machine.capacity, machine.capacity, {}};
    capacity.free.subtract(machine.allocated);
    capacity.free_after_stops = capacity.free;
    capacity.free_after_stops.add(machine.releasing);
    machines_.push_back(&machine);
    capacities_.push_back(capacity);
}

void CapacityTable::allocate(MachineIndex index, const Resources& need) {
    capacities_[index].free.subtract(need);
    capacities_[index].free_after_stops.subtract(need);
}

void CapacityTable::reserve_after_stops(MachineIndex index, const Resources& need) {
    capacities_[index].free_after_stops.subtract(need);
}

void CapacityTable::add_releasing(MachineIndex index, const Resources& released) {
    capacities_[index].free_after_stops.add(released);
}

}  // namespace dunebridge::scheduler
