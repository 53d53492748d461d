// How many machines are requested and which are released, for given demand, load and prices.
#include "provisioning/scaling_plan.hpp"

#include <gtest/gtest.h>

#include <cstddef>
#include <vector>

namespace dunebridge {
namespace {

provisioning::ScalingInput default_input() {
    provisioning::ScalingInput input;
    input.machine_types = {{"small", 4, 0, 16, 60, 1, 0.16, 0.07, 50, {"a", "b"}},
                           {"big", 32, 0, 128, 60, 1, 1.39, 0.57, 25, {"a", "b"}}};
    input.shortest_boot = Seconds(25);
    return input;
}

provisioning::Demand pending_tasks(double tasks, double cores, double run_time_s) {
    provisioning::Demand demand;
    demand.task_resources = {cores, 0, cores};
    demand.tasks = tasks;
    demand.run_time = Seconds(run_time_s);
    demand.spot_allowed = true;
    return demand;
}

TEST(ScalingPlan, RequestsAMachineForATaskThatFitsNoPresentOne) {
    auto input = default_input();
    input.demand = {pending_tasks(1, 20, 10)};
    const auto plan = provisioning::plan_scaling(input);
    ASSERT_EQ(plan.scale_out.size(), 1u);
    EXPECT_EQ(plan.scale_out[0].pool.machine_type, "big");
    EXPECT_TRUE(plan.scale_out[0].pool.spot);
}

TEST(ScalingPlan, RequestsNoSpotMachinesForJobsThatForbidThem) {
    auto input = default_input();
    input.demand = {pending_tasks(1, 2, 10)};
    input.demand[0].spot_allowed = false;
    const auto plan = provisioning::plan_scaling(input);
    ASSERT_FALSE(plan.scale_out.empty());
    EXPECT_FALSE(plan.scale_out[0].pool.spot);
}

TEST(ScalingPlan, RequestsOnDemandMachinesOnlyForALongBacklog) {
    auto input = default_input();
    for (const auto& type : input.machine_types) {
        for (const auto& zone : type.zones) input.in_backoff.insert({type.name, zone, true});
    }
    input.machines = {{{"big", "a", true}, 32, Seconds(0), true}};
    input.placed_cores = 32;
    input.demand = {pending_tasks(10, 4, 10)};
    input.demand[0].fits_existing_machine = true;
    EXPECT_TRUE(provisioning::plan_scaling(input).scale_out.empty());
    input.demand[0].tasks = 500;
    EXPECT_FALSE(provisioning::plan_scaling(input).scale_out.empty());
}

TEST(ScalingPlan, ReleasesIdleMachinesDownToTheTarget) {
    auto input = default_input();
    input.average_used_cores = 30;
    input.headroom = 1;
    input.idle_timeout = Seconds(10);
    input.machines = {{{"big", "a", true}, 32, Seconds(0), true},
                      {{"small", "a", true}, 4, Seconds(50), true},
                      {{"small", "b", true}, 4, Seconds(5), true}};
    EXPECT_EQ(provisioning::plan_scaling(input).scale_in, (std::vector<std::size_t>{1}));
}

// Pending tasks keep no machine that none of them can use, also while others are requested for
// them.
TEST(ScalingPlan, ReleasesIdleMachinesThatNoPendingTaskCanUse) {
    auto input = default_input();
    input.idle_timeout = Seconds(10);
    input.machines = {{{"small", "a", true}, 4, Seconds(50), true},
                      {{"big", "a", true}, 32, Seconds(50), true}};
    input.demand = {pending_tasks(100, 20, 100)};
    EXPECT_EQ(provisioning::plan_scaling(input).scale_in, (std::vector<std::size_t>{0}));
    input.average_used_cores = 1e6;  // more than the fleet has and is going to have
    EXPECT_TRUE(provisioning::plan_scaling(input).scale_in.empty());
}

// An unhealthy pool is used up to its limit, then other pools are.
TEST(ScalingPlan, RequestsFewMachinesFromUnhealthyPools) {
    auto input = default_input();
    input.demand = {pending_tasks(60, 4, 100)};
    for (const auto& type : input.machine_types) {
        for (const bool spot : {false, true}) {
            input.unhealthy_pool_limits[{type.name, "a", spot}] = 1;
        }
    }
    std::size_t from_a = 0;
    std::size_t from_b = 0;
    for (const auto& step : provisioning::plan_scaling(input).scale_out) {
        (step.pool.zone == "a" ? from_a : from_b) += step.count;
    }
    EXPECT_LE(from_a, 2u);  // one of each type
    EXPECT_GT(from_b, 2u);
    // Where no other pool is left, an unhealthy one is asked all the same.
    for (const auto& type : input.machine_types) {
        for (const bool spot : {false, true}) input.in_backoff.insert({type.name, "b", spot});
    }
    EXPECT_FALSE(provisioning::plan_scaling(input).scale_out.empty());
}

}  // namespace
}  // namespace dunebridge
