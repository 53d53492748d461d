// How many machines are requested and which are released, for given demand, load and prices.
#include "provisioning/scaling_plan.hpp"

#include <gtest/gtest.h>

#include <cstddef>
#include <vector>

namespace dunebridge {
namespace {

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

TEST(ScalingPlan, RequestsAMachineForATaskThatFitsNoPresentOne) {
    auto in = input();
    in.demand = {demand(1, 20, 10)};
    const auto plan = provisioning::plan(in);
    ASSERT_EQ(plan.rent.size(), 1u);
    EXPECT_EQ(plan.rent[0].pool.machine_type, "big");
    EXPECT_TRUE(plan.rent[0].pool.spot);
}

TEST(ScalingPlan, RequestsNoSpotMachinesForJobsThatForbidThem) {
    auto in = input();
    in.demand = {demand(1, 2, 10)};
    in.demand[0].spot_allowed = false;
    const auto plan = provisioning::plan(in);
    ASSERT_FALSE(plan.rent.empty());
    EXPECT_FALSE(plan.rent[0].pool.spot);
}

TEST(ScalingPlan, RequestsOnDemandMachinesOnlyForALongBacklog) {
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

TEST(ScalingPlan, ReleasesIdleMachinesDownToTheTarget) {
    auto in = input();
    in.load_cores = 30;
    in.headroom = 1;
    in.idle_return_s = 10;
    in.machines = {{{"big", "a", true}, 32, 0, true},
                   {{"small", "a", true}, 4, 50, true},
                   {{"small", "b", true}, 4, 5, true}};
    EXPECT_EQ(provisioning::plan(in).scale_in, (std::vector<std::size_t>{1}));
}

// Pending tasks keep no machine that none of them can use, also while others are requested for
// them.
TEST(ScalingPlan, ReleasesIdleMachinesThatNoPendingTaskCanUse) {
    auto in = input();
    in.idle_return_s = 10;
    in.machines = {{{"small", "a", true}, 4, 50, true}, {{"big", "a", true}, 32, 50, true}};
    in.demand = {demand(100, 20, 100)};
    EXPECT_EQ(provisioning::plan(in).scale_in, (std::vector<std::size_t>{0}));
    in.load_cores = 1e6;  // more than the fleet has and is going to have
    EXPECT_TRUE(provisioning::plan(in).scale_in.empty());
}

// An unhealthy pool is used up to its limit, then other pools are.
TEST(ScalingPlan, RequestsFewMachinesFromUnhealthyPools) {
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
    // Where no other pool is left, an unhealthy one is asked all the same.
    for (const auto& type : in.types) {
        for (const bool spot : {false, true}) in.blocked.insert({type.name, "b", spot});
    }
    EXPECT_FALSE(provisioning::plan(in).rent.empty());
}

}  // namespace
}  // namespace dunebridge
