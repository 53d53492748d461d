// Machines late or missing, controllers silent or stopped, users asking in masses, guests without a
// guarantee and jobs that fail everywhere: each alone, joined with the older troubles, and drawn.
// The rules are checked after every step; in the end every job is over.
#include <gtest/gtest.h>

#include <ostream>

#include "sim/drawn.hpp"
#include "sim/expect.hpp"
#include "sim/fleet_day.hpp"
#include "sim/world.hpp"

namespace dunebridge::sim {
namespace {

using Unreached = World::Unreached;

Millis s(double seconds) { return from_seconds(seconds); }

struct Night {
    const char* name;
    void (*bring_about)(World&);
    void (*options)(Options&) = [](Options&) {};
};

void PrintTo(const Night& night, std::ostream* out) { *out << night.name; }

void restart_in_turn(World& world) {
    for (std::size_t node = 0; node < world.nodes(); ++node) {
        world.crash_node(node, s(4));
        world.run_for(s(12));
    }
}

const Night kNights[] = {
    {"MachinesLateEverywhere",
     [](World& w) {
         w.boot_trouble(5, 0.2, s(90));
         w.machines_die(60);
         w.run_for(s(100));
     }},
    {"NoMachinesFromOneZoneWhileTheOtherIsCutOff",
     [](World& w) {
         w.boot_trouble(1, 1, s(90), "a");
         w.cut_zone("b", w.leader(), s(30));
         w.machines_die(40);
         w.run_for(s(100));
     }},
    {"MachinesLateOverAChangeOfLeader",
     [](World& w) {
         w.boot_trouble(6, 0.3, s(60));
         w.machines_die(50);
         w.run_for(s(10));
         w.crash_leader(s(4));
         w.run_for(s(60));
     }},
    {"AllSilentForOverAMinute",
     [](World& w) {
         w.cancel_running(3);
         w.crash_all(s(80));
         w.run_for(s(90));
     }},
    {"AllStandStillForOverAMinute",
     [](World& w) {
         w.cancel_running(3);
         w.run_for(s(0.1));
         w.all_stand_still(s(70));
         w.run_for(s(80));
     }},
    {"AllSilentWithAnOutageBeyondTheTimeOfCancellations",
     [](World& w) {
         w.state_outage(s(60));
         w.cancel_running(4);
         w.run_for(s(5));
         w.crash_all(s(62));
         w.run_for(s(70));
     }},
    {"OneSilentForOverAMinuteThenAnother",
     [](World& w) {
         const auto first = w.leader();
         w.crash_node(first, s(90));
         w.run_for(s(80));
         w.crash_leader(s(70));
         w.cancel_running(3);
         w.run_for(s(80));
     }},
    {"ALeaderStopsInAnElectionALoadAndATransaction",
     [](World& w) {
         for (int i = 0; i < 6; ++i) {
             w.crash_leader(s(0.2));
             // While the others elect, while the new leader loads, and while it commits.
             w.run_for(Millis(i % 3 == 0 ? 900 : i % 3 == 1 ? 3300 : 5000));
             const auto leader = w.leader();
             w.stand_still(leader < w.nodes() ? leader : 1, s(1 + 6 * i));
             w.cancel_running(1);
             w.run_for(s(9));
         }
     }},
    {"AStoppedLeaderAndLateCommands",
     [](World& w) {
         w.hold_commands(s(9));
         w.run_for(s(1));
         w.stand_still(w.leader(), s(18));
         w.run_for(s(2));
         w.cancel_running(5);
         w.run_for(s(30));
     }},
    {"AStoppedLeaderAndLateWrites",
     [](World& w) {
         w.late_writes(0.3, s(30));
         w.run_for(s(5));
         w.stand_still(w.leader(), s(7));
         w.run_for(s(2));
         w.cancel_running(4);
         w.run_for(s(40));
     }},
    {"AStoppedLeaderWhileOthersConfirmCancellations",
     [](World& w) {
         w.stand_still(w.leader(), s(2.5));
         w.run_for(s(0.2));
         w.cancel_running(6);
         w.run_for(s(10));
         w.stand_still(w.leader(), s(50));
         w.run_for(s(0.2));
         w.cancel_running(6);
         w.run_for(s(60));
     },
     [](Options& o) { o.task_s = 120; }},
    {"MassesOfPollsAndARollingRestart",
     [](World& w) {
         w.poll_storm(8, s(50));
         restart_in_turn(w);
         w.cancel_running(4);
         w.run_for(s(20));
     }},
    {"GuestsWhileTheStateServiceIsSlowAndWritesLag",
     [](World& w) {
         w.run_for(s(10));
         w.state_slow(s(40));
         w.late_writes(0.1, s(40));
         w.run_for(s(30));
         w.crash_leader(s(4));
         w.run_for(s(30));
     },
     [](Options& o) { o.guests = true; }},
    {"GuestsDuringTheLossOfAZone",
     [](World& w) {
         w.run_for(s(15));
         w.cut_zone("a", w.leader(), s(30));
         w.machines_die(30);
         w.run_for(s(50));
     },
     [](Options& o) { o.guests = true; }},
    {"FaultyJobsWhileATeamIsAtItsLimitAndMachinesHang",
     [](World& w) {
         w.machines_unreached(Unreached::hung, 40, s(12));
         w.run_for(s(5));
         w.cancel_running(4);
         w.crash_leader(s(3));
         w.run_for(s(40));
     },
     [](Options& o) {
         o.mistaken_percent = 30;
         o.jobs = 50;
     }},
};

Options night_options(std::uint64_t seed) {
    Options options;
    options.seed = seed;
    options.fault_every_s = 0;
    options.troubles_s = 160;
    options.finish_s = 2500;
    return options;
}

class BadNights : public testing::TestWithParam<std::tuple<Night, std::uint64_t>> {};

TEST_P(BadNights, RulesHoldAndJobsEnd) {
    const auto& [night, seed] = GetParam();
    auto options = night_options(seed);
    night.options(options);
    World world(options);
    world.run_for(s(45));
    night.bring_about(world);
    world.run();
    expect_over(world);
    EXPECT_EQ(world.starts_long_after_cancellation(), 0u);
}
INSTANTIATE_TEST_SUITE_P(Named, BadNights,
                         testing::Combine(testing::ValuesIn(kNights),
                                          testing::Range<std::uint64_t>(1, 4)),
                         [](const auto& p) {
                             return std::string(std::get<0>(p.param).name) + "_" +
                                    std::to_string(std::get<1>(p.param));
                         });

// The roll-out from the version in production during each of them.
class BadNightsInARollOut : public testing::TestWithParam<Night> {};

TEST_P(BadNightsInARollOut, RulesHoldAndJobsEnd) {
    auto options = night_options(9);
    options.old_format = config::kChunkFormat;
    GetParam().options(options);
    World world(options);
    world.run_for(s(40));
    world.upgrade(0, s(3));
    world.run_for(s(5));
    GetParam().bring_about(world);
    for (std::size_t node = 1; node < world.nodes(); ++node) {
        world.upgrade(node, s(3));
        world.run_for(s(8));
    }
    world.run();
    expect_over(world);
    EXPECT_EQ(world.format(), config::kNewestFormat);
}
INSTANTIATE_TEST_SUITE_P(Named, BadNightsInARollOut, testing::ValuesIn(kNights),
                         [](const auto& p) { return std::string(p.param.name); });

// Hundreds of small jobs that are asked about by the thousand: what users ask stays within its part
// of the state service's rate, so that two changes of leader cost two terms.
TEST(MassesOfPolls, LeaveTheLeaderItsPartOfTheRate) {
    auto options = night_options(3);
    options.jobs = 400;
    options.most_tasks = 1;
    options.machines = 40;
    World world(options);
    world.run_for(s(110));
    world.poll_storm(8, s(70));
    for (int i = 0; i < 2; ++i) {
        world.run_for(s(15));
        world.crash_leader(s(4));
    }
    world.run_for(s(40));
    EXPECT_EQ(world.terms(), 3u);
    EXPECT_LT(world.state().refusals() * 100, world.state().requests());
    world.run();
    expect_over(world);
}

// A fleet of hundreds in CI; the same day at any size is `fleet MACHINES` (CONTRIBUTING.md).
TEST(LargeFleet, KeepsItsTasksOverAChangeOfLeaderAndASilenceOfAll) {
    World world(fleet_options(400));
    const auto day = run_fleet_day(world);
    expect_over(world);
    EXPECT_GT(day.most_up, 300u);
    EXPECT_EQ(day.killed_by_lease, 0u);
    EXPECT_EQ(world.state().violations(), 0u);
    EXPECT_LE(world.state().most_changes_in_a_second(), 140);
}

// Jobs with a mistake neither cost healthy machines nor draw new ones by the dozen.
TEST(FaultyJobs, CostNoMachines) {
    auto options = night_options(5);
    options.jobs = 40;
    options.machines = 30;
    options.mistaken_percent = 25;
    World world(options);
    world.run();
    expect_over(world);
    EXPECT_EQ(world.returned_with_tasks(), 0u);
    auto without = options;
    without.mistaken_percent = 0;
    World healthy(without);
    healthy.run();
    EXPECT_LT(world.machines_rented(), healthy.machines_rented() * 2);
}

// Days of these troubles and all older ones, drawn by a seed.
class DrawnNights : public testing::TestWithParam<std::uint64_t> {};

TEST_P(DrawnNights, RulesHoldAndJobsEnd) {
    const auto seed = GetParam();
    World world(drawn_night_options(seed));
    run_drawn_night(world);
    expect_over(world);
}
INSTANTIATE_TEST_SUITE_P(Seeds, DrawnNights, testing::Range<std::uint64_t>(9000, 9024));

}  // namespace
}  // namespace dunebridge::sim
