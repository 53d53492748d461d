/// \file
/// Machines that are reserved for a job that has waited long: for whom, and for how long.
#include <gtest/gtest.h>

#include "sim/controller_harness.hpp"

namespace dunebridge::sim {
namespace {

using Hosts = std::vector<std::string>;

// docs/incidents/0009: a machine kept for an aged job, whose team is at its limit by then, is open
// to others.
TEST(ReservationTest, NothingIsKeptForAJobWhoseTeamIsAtItsLimit) {
    auto config = ControllerHarness::config();
    config.teams.push_back({"few", 0, 0, 4, 0});
    ControllerHarness s(2, config);
    s.run(Millis(3000));
    auto full = job(1);
    full.cores = 16;
    full.spot_allowed = false;
    ASSERT_EQ(s.submit(full), 201);
    auto ordinary = ready_machine(s, 0);
    run_workers(s, {&ordinary}, 3);
    ASSERT_EQ(s.submit(job(2)), 201);
    auto spot = s.machine(1);
    ASSERT_TRUE(spot.heartbeat.spot);
    acknowledge_token(s, spot);
    auto aged = job(3);
    aged.team = "few";
    aged.cores = 4;
    aged.spot_allowed = false;
    ASSERT_EQ(s.submit(aged), 201);
    run_workers(s, {&ordinary, &spot}, 95);
    auto other = job(4);
    other.team = "few";
    ASSERT_EQ(s.submit(other), 201);
    run_workers(s, {&ordinary, &spot}, 3);
    ASSERT_EQ(s.recorded_hosts(other.id), Hosts{spot.heartbeat.host.get()});
    finish_task(ordinary, full.id);
    auto waiting = job(5);
    waiting.spot_allowed = false;
    ASSERT_EQ(s.submit(waiting), 201);
    run_workers(s, {&ordinary, &spot}, 5);
    EXPECT_EQ(s.recorded_hosts(waiting.id), Hosts{ordinary.heartbeat.host.get()});
    EXPECT_EQ(s.recorded_hosts(aged.id), Hosts{});
}

// A machine is not kept for so long that others which would fit wait for 90 s.
TEST(ReservationTest, AMachineIsKeptForALimitedTime) {
    ControllerHarness s(1);
    s.run(Millis(3000));
    auto large = job(1);
    large.cores = 14;
    auto small = job(2);
    small.cores = 2;
    ASSERT_EQ(s.submit(large), 201);
    ASSERT_EQ(s.submit(small), 201);
    auto w = ready_machine(s, 0);
    run_workers(s, {&w}, 3);
    auto aged = job(3);
    aged.cores = 4;
    ASSERT_EQ(s.submit(aged), 201);
    run_workers(s, {&w}, 95);
    finish_task(w, small.id);
    auto fits = job(4);
    ASSERT_EQ(s.submit(fits), 201);
    run_workers(s, {&w}, 5);
    EXPECT_EQ(s.recorded_hosts(fits.id), Hosts{});  // kept for the aged job
    run_workers(s, {&w}, 70);
    EXPECT_EQ(s.recorded_hosts(fits.id), Hosts{w.heartbeat.host.get()});
}

}  // namespace
}  // namespace dunebridge::sim
