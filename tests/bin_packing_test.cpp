// Ranking of machines for a task: best fit on free capacity, and on capacity that will be free.
#include "scheduler/bin_packing.hpp"

#include <gtest/gtest.h>

#include <cstddef>
#include <vector>

namespace dunebridge {
namespace {

// Indices of machines, the best first.
using Ranking = std::vector<std::size_t>;

scheduler::FreeCapacity free_capacity(double total, double free) {
    scheduler::FreeCapacity capacity;
    capacity.total = {total, 0, total * 4};
    capacity.free = capacity.free_after_stops = {free, 0, free * 4};
    return capacity;
}
const auto kAny = [](std::size_t) { return true; };
const auto kNone = [](std::size_t) { return false; };

TEST(BestFit, RanksTheFullestMachineThatFitsFirst) {
    const std::vector<scheduler::FreeCapacity> machines{free_capacity(8, 8), free_capacity(8, 1),
                                                        free_capacity(8, 3), free_capacity(8, 5)};
    EXPECT_EQ(scheduler::best_fit(machines, {2, 0, 4}, kAny, kNone), (Ranking{2, 3, 0}));
    EXPECT_EQ(scheduler::best_fit(machines, {9, 0, 4}, kAny, kNone), Ranking{});
    EXPECT_EQ(scheduler::best_fit(
                  machines, {2, 0, 4}, [](std::size_t i) { return i != 2; }, kNone),
              (Ranking{3, 0}));
}

TEST(BestFit, SkipsMachinesWithoutEnoughMemory) {
    const std::vector<scheduler::FreeCapacity> machines{free_capacity(8, 2), free_capacity(8, 8)};
    EXPECT_EQ(scheduler::best_fit(machines, {1, 0, 16}, kAny, kNone), Ranking{1});
}

TEST(BestFit, PrefersAMachineWithTheImageAmongEquals) {
    const std::vector<scheduler::FreeCapacity> machines{free_capacity(8, 4), free_capacity(8, 4)};
    EXPECT_EQ(scheduler::best_fit(machines, {1, 0, 1}, kAny, [](std::size_t i) { return i == 1; }),
              (Ranking{1, 0}));
}

TEST(BestFit, SkipsCapacityThatIsReservedForLater) {
    std::vector<scheduler::FreeCapacity> machines{free_capacity(8, 4)};
    machines[0].free_after_stops = {1, 0, 32};
    EXPECT_EQ(scheduler::best_fit(machines, {2, 0, 1}, kAny, kNone), Ranking{});
}

TEST(FutureFit, RanksTheMachineThatIsFreeEarliestFirst) {
    std::vector<scheduler::FreeCapacity> machines{free_capacity(8, 0), free_capacity(8, 0)};
    for (auto& machine : machines) machine.free_after_stops = {4, 0, 16};
    const auto earliest = [](std::size_t i) { return i == 0 ? 9.0 : 3.0; };
    EXPECT_EQ(scheduler::future_fit(machines, {2, 0, 1}, kAny, earliest), (Ranking{1, 0}));
}

}  // namespace
}  // namespace dunebridge
