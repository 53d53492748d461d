#include "scheduler/bin_packing.hpp"

#include <algorithm>
#include <compare>
#include <utility>

namespace dunebridge::scheduler {

namespace {

/// Rank of a machine that can run a task now. The machine with the greatest rank comes first.
struct BestFitRank {
    double used_share = 0;
    bool has_image = false;
    double negative_cores = 0;  // negated, so that smaller machines rank higher
    auto operator<=>(const BestFitRank&) const = default;
};

/// A machine and its rank.
template <class Rank>
struct RankedMachine {
    Rank rank;
    MachineIndex machine;
};

// Returns the fraction of the machine's cores that is allocated; 0 if it has no cores.
double used_share(const FreeCapacity& machine) {
    if (machine.total.cores <= 0) return 0;
    return 1.0 - machine.free.cores / machine.total.cores;
}

/// Returns the machines in descending order of rank. Machines of equal rank keep their order.
template <class Rank>
std::vector<MachineIndex> sort_by_rank(std::vector<RankedMachine<Rank>> ranked) {
    std::stable_sort(ranked.begin(), ranked.end(),
                     [](const auto& a, const auto& b) { return a.rank > b.rank; });
    std::vector<MachineIndex> machines;
    machines.reserve(ranked.size());
    for (const auto& entry : ranked) machines.push_back(entry.machine);
    return machines;
}

}  // namespace

std::vector<MachineIndex> best_fit(const std::vector<FreeCapacity>& machines, const Resources& need,
                                   const IsEligible& is_eligible, const HasImage& has_image) {
    std::vector<RankedMachine<BestFitRank>> ranked;
    for (MachineIndex i = 0; i < machines.size(); ++i) {
        const auto& machine = machines[i];
        if (!machine.free.holds(need) || !machine.free_after_stops.holds(need)) continue;
        if (!is_eligible(i)) continue;
        ranked.push_back({{used_share(machine), has_image(i), -machine.total.cores}, i});
    }
    return sort_by_rank(std::move(ranked));
}

std::vector<MachineIndex> future_fit(const std::vector<FreeCapacity>& machines,
                                     const Resources& need, const IsEligible& is_eligible,
                                     const EarliestAvailable& earliest_available_s) {
    std::vector<RankedMachine<double>> ranked;
    for (MachineIndex i = 0; i < machines.size(); ++i) {
        if (!machines[i].free_after_stops.holds(need) || !is_eligible(i)) continue;
        ranked.push_back({-earliest_available_s(i), i});
    }
    return sort_by_rank(std::move(ranked));
}

}  // namespace dunebridge::scheduler
