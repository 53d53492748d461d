// Old and new versions side by side, and a state service that lowers its limits without notice.
#include <gtest/gtest.h>

#include "sim/expect.hpp"
#include "sim/script.hpp"
#include "sim/world.hpp"

namespace dunebridge::sim {
namespace {

Millis s(double seconds) { return from_seconds(seconds); }

Options large_jobs(std::uint64_t seed) {
    Options o;
    o.seed = seed;
    o.fault_every_s = 0;
    o.troubles_s = 200;
    o.finish_s = 1500;
    o.jobs = 40;
    o.machines = 60;
    o.most_shards = 300;
    o.old_version = true;
    o.pipelines = 10;
    o.pipelines_after_s = 110;
    o.limits = state::Limits({200, 80, 16, 48}, state::Limits::Set{200, 56, 2, 16});
    return o;
}

void expect_good(World& world) {
    world.run();
    expect_over(world, 1000);
}

// Written by the version in production (deploy/service.toml), for a job of three tasks: the first
// is done, the others are on the machine.
struct Row {
    const char* key;
    const char* hex;
};
const Row kProduction[] = {
    {"job/req-000001",
     "82a26174cf0000018bcfe577a5a473706563de0014a76e616d655f6964aa7265712d303030303031a86a6f62636c6"
     "173"
     "73a573686f7274a56f776e6572a466726565a76a6f626b696e64a56172726179a7757267656e6379a87374616e646"
     "172"
     "64a673686172647303a5636f72657301ac616363656c657261746f727300a672616d5f676201a662756e646c65a36"
     "96d"
     "67a773697a655f676201a6736861706573c0a6726567696f6ec0a8746f676574686572c2a56170617274c2ab72656"
     "36c"
     "61696d61626c65c3aa65787065637465645f730ab0736e617073686f745f65766572795f7300aa736e617073686f7"
     "45f"
     "7300a56475655f73c0"},
    {"prog/req-000001/0",
     "86a17602a466726f6d00a4646f6e65a131a8736869656c646564a0a462617365ce10000002a57461736b739195a97"
     "66d"
     "2d30303030303001000201"},
    {"rent/1-1",
     "87a17602a5636c61696da3312d31a57368617065a3626967a6726567696f6ea161ab7265636c61696d61626c65c3a"
     "868"
     "6f775f6d616e7901a5686f73747391a9766d2d303030303030"},
};

std::string bytes(const std::string& hex) {
    std::string out;
    for (std::size_t i = 0; i < hex.size(); i += 2) {
        out += static_cast<char>(std::stoi(hex.substr(i, 2), nullptr, 16));
    }
    return out;
}

core::Config with_a_peer_unheard() {
    auto config = Script::config();
    config.known.push_back({NodeName("node-1"), "a", "node-1"});
    return config;
}

// The job's tasks begin on a machine, and the first of them ends.
void run_three_tasks(Script& script) {
    script.run(Millis(3000));
    ASSERT_EQ(script.submit(job(1, 3)), 201);
    auto w = script.machine(0);
    w.report.epoch = script.checkin(w.next()).second.epoch;
    script.run(Millis(500));
    script.checkin(w.next());
    script.run(Millis(300));
    ASSERT_EQ(script.directs().size(), 1u);
    for (const auto& order : script.directs()[0].commands.orders) {
        wire::TaskReport t;
        t.task = order.task;
        t.attempt = order.attempt;
        t.phase = order.task.index == 0 ? wire::TaskPhase::exited : wire::TaskPhase::running;
        if (order.task.index == 0) t.reason = wire::ExitReason::done;
        w.report.tasks.push_back(t);
    }
    script.answer(script.directs()[0], 200, w.next());
    script.run(Millis(3000));
}

// Until the switch, what the new version writes is what production writes, to the letter; so is
// what the simulation's old nodes write.
TEST(ProductionFormat, IsWrittenUntilTheSwitch) {
    for (const std::uint64_t format : {2, 3}) {
        auto config = with_a_peer_unheard();
        config.format = format;
        Script script(1, config);
        run_three_tasks(script);
        for (const auto& [key, hex] : kProduction) {
            if (std::string(key).starts_with("job/")) continue;  // it holds the time of day
            EXPECT_EQ(script.state().value(key), bytes(hex)) << key << " format " << format;
        }
    }
}

TEST(ProductionFormat, IsRead) {
    Script script(1);
    for (const auto& [key, hex] : kProduction) script.write(key, bytes(hex));
    script.run(Millis(6000));
    ASSERT_TRUE(script.leads());
    EXPECT_EQ(script.recorded_on(JobId("req-000001")), std::vector<std::string>{"vm-000000"});
    const auto answer = script.ask("GET", "/v1/jobs/req-000001", {});
    const auto doc = wire::Document::parse(answer.body);
    EXPECT_EQ(doc->root()["done"].count(), 1u);
}

// After the switch the older version does not act on what it would misread.
TEST(ProductionFormat, TheOlderVersionStopsAtTheMark) {
    auto config = Script::config();
    config.format = 2;
    Script script(1, config);
    script.write(state::kFormatMark, wire::Writer().map(1).text("v").count(3).take());
    for (const auto& [key, hex] : kProduction) script.write(key, bytes(hex));
    script.run(Millis(8000));
    EXPECT_FALSE(script.leads());
    EXPECT_TRUE(script.logged("event=bad_record key=rent/!format"));
}

// What no longer fits a record is put off, and the rest of the job goes on.
TEST(LimitsBeforeTheSwitch, AJobRunsAsManyTasksAsCanBeRecorded) {
    auto config = with_a_peer_unheard();
    config.state = state::Limits({200, 80, 16, 48}, state::Limits::Set{200, 80, 1, 16});
    Script script(1, config);
    script.run(Millis(3000));
    auto large = job(1, 256);
    large.cores = large.ram_gb = 0.05;
    ASSERT_EQ(script.submit(large), 201);
    script.state().set_limits({200, 80, 16, 1024, 20});
    auto w = script.machine(0);
    greet(script, w);
    play(script, {&w}, 12);
    const auto first = w.report.tasks.size();
    EXPECT_GT(first, 20u);
    EXPECT_LT(first, 256u);
    end_task(w, large.id);
    play(script, {&w}, 12);
    EXPECT_GT(w.report.tasks.size(), 20u);  // others have taken their place
    EXPECT_LE(script.state().violations(), 2u);
}

class Upgrade : public testing::TestWithParam<std::uint64_t> {};

// Processes are replaced one after the other while leaders come and go and jobs are cancelled; the
// format changes once all have shown the new version, and then the limits fall.
TEST_P(Upgrade, BothVersionsServeAndTheLimitsFall) {
    World world(large_jobs(GetParam()));
    world.run_for(s(50));
    for (std::size_t i = 0; i < world.nodes(); ++i) {
        world.upgrade((i + GetParam()) % world.nodes(), s(3));
        world.run_for(s(4));
        // Leadership goes to and fro between the versions.
        if (i == 1) {
            world.cut_node(world.leader(), {true, true, false}, true, s(5));
        } else {
            world.crash_leader(s(1));
        }
        world.cancel_running(1);
        world.run_for(s(6));
        if (i + 1 < world.nodes()) {
            EXPECT_FALSE(world.new_format());
        }
    }
    world.run_for(s(10));
    EXPECT_TRUE(world.new_format());
    world.lower_limits();
    world.run_for(s(20));
    world.crash_leader(s(2));
    world.late_writes(0.2, s(20));
    expect_good(world);
    // All values and transactions were within the smaller limits by then.
    EXPECT_EQ(world.state().violations(), 0u);
}
INSTANTIATE_TEST_SUITE_P(Seeds, Upgrade, testing::Range<std::uint64_t>(1, 5));

// One controller stays away, so that the older format stays in force when the limits fall: the
// ledger goes on working, with what fits.
TEST(LimitsBeforeTheSwitch, TheLedgerGoesOnWorking) {
    World world(large_jobs(9));
    world.run_for(s(40));
    world.upgrade(1, s(2));
    world.upgrade(2, s(2));
    world.crash_node(0, s(70));
    world.run_for(s(30));
    EXPECT_FALSE(world.new_format());
    world.lower_limits();
    world.run_for(s(25));
    const auto started = world.tasks_started();
    world.run_for(s(15));
    EXPECT_GT(world.tasks_started(), started);
    EXPECT_FALSE(world.new_format());
    world.upgrade(0, s(2));
    expect_good(world);
    EXPECT_TRUE(world.new_format());
}

}  // namespace
}  // namespace dunebridge::sim
