// The pure decisions: best fit, promised room, fleet size, budgets.
#include <gtest/gtest.h>

#include "base/token_bucket.hpp"
#include "coordination/cancellation_log.hpp"
#include "provisioning/scaling_plan.hpp"
#include "scheduler/bin_packing.hpp"

namespace dunebridge {
namespace {

using TaskCommand = std::vector<std::size_t>;

scheduler::FreeCapacity room(double total, double free) {
    scheduler::FreeCapacity r;
    r.total = {total, 0, total * 4};
    r.free = r.later = {free, 0, free * 4};
    return r;
}
const auto any = [](std::size_t) { return true; };
const auto none = [](std::size_t) { return false; };

TEST(BestFit, TheFullestThatFitsFirst) {
    const std::vector<scheduler::FreeCapacity> rooms{room(8, 8), room(8, 1), room(8, 3),
                                                     room(8, 5)};
    EXPECT_EQ(scheduler::best_fit(rooms, {2, 0, 4}, any, none), (TaskCommand{2, 3, 0}));
    EXPECT_EQ(scheduler::best_fit(rooms, {9, 0, 4}, any, none), TaskCommand{});
    EXPECT_EQ(scheduler::best_fit(
                  rooms, {2, 0, 4}, [](std::size_t i) { return i != 2; }, none),
              (TaskCommand{3, 0}));
}

TEST(BestFit, MemoryCountsToo) {
    const std::vector<scheduler::FreeCapacity> rooms{room(8, 2), room(8, 8)};
    EXPECT_EQ(scheduler::best_fit(rooms, {1, 0, 16}, any, none), TaskCommand{1});
}

TEST(BestFit, AnImageBreaksTies) {
    const std::vector<scheduler::FreeCapacity> rooms{room(8, 4), room(8, 4)};
    EXPECT_EQ(scheduler::best_fit(rooms, {1, 0, 1}, any, [](std::size_t i) { return i == 1; }),
              (TaskCommand{1, 0}));
}

TEST(BestFit, RoomThatIsPromisedIsNotGivenAway) {
    std::vector<scheduler::FreeCapacity> rooms{room(8, 4)};
    rooms[0].later = {1, 0, 32};
    EXPECT_EQ(scheduler::best_fit(rooms, {2, 0, 1}, any, none), TaskCommand{});
}

TEST(FutureFit, TheEarliestFinishRanksFirst) {
    std::vector<scheduler::FreeCapacity> rooms{room(8, 0), room(8, 0)};
    for (auto& r : rooms) r.later = {4, 0, 16};
    const auto earliest = [](std::size_t i) { return i == 0 ? 9.0 : 3.0; };
    EXPECT_EQ(scheduler::future_fit(rooms, {2, 0, 1}, any, earliest), (TaskCommand{1, 0}));
}

provisioning::ScalingInput input() {
    provisioning::ScalingInput in;
    in.types = {{"small", 4, 0, 16, 60, 1, 0.16, 0.07, 50, {"a", "b"}},
                {"big", 32, 0, 128, 60, 1, 1.39, 0.57, 25, {"a", "b"}}};
    in.boot_s = 25;
    return in;
}

provisioning::Demand demand(double tasks, double cores, double seconds) {
    provisioning::Demand d;
    d.need = {cores, 0, cores};
    d.tasks = tasks;
    d.seconds = seconds;
    d.spot_allowed = true;
    return d;
}

TEST(Sizing, RentsWhatHoldsATaskThatFitsNowhere) {
    auto in = input();
    in.demand = {demand(1, 20, 10)};
    const auto plan = provisioning::plan(in);
    ASSERT_EQ(plan.rent.size(), 1u);
    EXPECT_EQ(plan.rent[0].pool.machine_type, "big");
    EXPECT_TRUE(plan.rent[0].pool.spot);
}

TEST(Sizing, NoSpotForJobsThatMayNotUseIt) {
    auto in = input();
    in.demand = {demand(1, 2, 10)};
    in.demand[0].spot_allowed = false;
    const auto plan = provisioning::plan(in);
    ASSERT_FALSE(plan.rent.empty());
    EXPECT_FALSE(plan.rent[0].pool.spot);
}

TEST(Sizing, OrdinaryMachinesOnlyForALongBacklog) {
    auto in = input();
    for (const auto& t : in.types) {
        for (const auto& r : t.zones) in.blocked.insert({t.name, r, true});
    }
    in.machines = {{{"big", "a", true}, 32, 0, true}};
    in.placed_cores = 32;
    in.demand = {demand(10, 4, 10)};
    in.demand[0].fits_somewhere = true;
    EXPECT_TRUE(provisioning::plan(in).rent.empty());
    in.demand[0].tasks = 500;
    EXPECT_FALSE(provisioning::plan(in).rent.empty());
}

TEST(Sizing, IdleMachinesGoBackDownToTheTarget) {
    auto in = input();
    in.load_cores = 30;
    in.headroom = 1;
    in.idle_return_s = 10;
    in.machines = {{{"big", "a", true}, 32, 0, true},
                   {{"small", "a", true}, 4, 50, true},
                   {{"small", "b", true}, 4, 5, true}};
    EXPECT_EQ(provisioning::plan(in).scale_in, (std::vector<std::size_t>{1}));
}

// What waits keeps no machine that none of it can use, also while others are being rented for it.
TEST(Sizing, IdleMachinesThatNothingWaitingCanUseGoBack) {
    auto in = input();
    in.idle_return_s = 10;
    in.machines = {{{"small", "a", true}, 4, 50, true}, {{"big", "a", true}, 32, 50, true}};
    in.demand = {demand(100, 20, 100)};
    EXPECT_EQ(provisioning::plan(in).scale_in, (std::vector<std::size_t>{0}));
    in.load_cores = 1e6;  // more than what there is and what is being rented
    EXPECT_TRUE(provisioning::plan(in).scale_in.empty());
}

// A place that does not deliver machines is used for as many as it is allowed, then others are.
TEST(Sizing, PlacesThatDoNotDeliverAreUsedLess) {
    auto in = input();
    in.demand = {demand(60, 4, 100)};
    for (const auto& type : in.types) {
        for (const bool spot : {false, true}) in.allowances[{type.name, "a", spot}] = 1;
    }
    std::size_t from_a = 0;
    std::size_t from_b = 0;
    for (const auto& rent : provisioning::plan(in).rent) {
        (rent.pool.zone == "a" ? from_a : from_b) += rent.count;
    }
    EXPECT_LE(from_a, 2u);  // one of each type
    EXPECT_GT(from_b, 2u);
    // Where there is nothing else it is asked all the same.
    for (const auto& type : in.types) {
        for (const bool spot : {false, true}) in.blocked.insert({type.name, "b", spot});
    }
    EXPECT_FALSE(provisioning::plan(in).rent.empty());
}

// Two nodes that hear each other's log, one a little later, must not keep an end in it for ever.
TEST(CancellationLogTest, DoNotGoRoundBetweenNodes) {
    config::Config config;
    config.cancellation_deadline = Millis(20000);
    sansio::Context ports[2]{{1, sansio::LogLevel::info}, {2, sansio::LogLevel::info}};
    coordination::CancellationLog logs[2]{{ports[0], config}, {ports[1], config}};
    Instant now(Millis(1000));
    ports[0].advance_clock(now, 0);
    EXPECT_TRUE(logs[0].add(JobId("req-1")));
    EXPECT_FALSE(logs[0].add(JobId("req-1")));
    now += Millis(5000);
    for (int step = 0; step < 300; ++step) {
        now += Millis(700);
        const auto from = static_cast<std::size_t>(step % 2);
        for (auto& port : ports) port.advance_clock(now, 0);
        for (const auto& id : logs[from].kept().jobs) logs[1 - from].add(id);
        if (step == 2) {
            EXPECT_EQ(logs[1].kept().jobs.size(), 1u);
        }
    }
    for (auto& log : logs) {
        EXPECT_TRUE(log.kept().jobs.empty());
        EXPECT_EQ(log.kept().first, 2u);  // logged once
    }
}

TEST(Budget, RefillsWithTimeAndPaysOffLargeRequests) {
    TokenBucket budget(10);
    Instant now(Millis(1000));
    EXPECT_TRUE(budget.take(10, now));
    EXPECT_FALSE(budget.take(1, now));
    EXPECT_TRUE(budget.take(1, budget.ready_at(1, now)));
    now += Millis(5000);
    EXPECT_TRUE(budget.take(30, now));
    EXPECT_FALSE(budget.take(1, now + Millis(1000)));
    EXPECT_TRUE(budget.take(1, now + Millis(3200)));
}

}  // namespace
}  // namespace dunebridge
