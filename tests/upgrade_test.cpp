// Records and peer messages of earlier versions, byte for byte: they stay readable, and are written
// until every controller is of the newer version.
#include <gtest/gtest.h>

#include "coordination/peer_monitor.hpp"
#include "sim/controller_harness.hpp"

namespace dunebridge::sim {
namespace {

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

// Written by the first version with chains (cluster state format 3): three jobs one after the
// other, the last of which is cancelled; of the first, which has three tasks, one is done.
const Row kFirstWithChains[] = {
    {"job/req-000001",
     "82a26174cf0000018bcfe577a5a473706563de0014a76e616d655f6964aa7265712d303030303031a86a6f62636c6"
     "1"
     "7373a573686f7274a56f776e6572a466726565a76a6f626b696e64a56172726179a7757267656e6379a87374616e6"
     "4"
     "617264a673686172647303a5636f72657301ac616363656c657261746f727300a672616d5f676201a662756e646c6"
     "5"
     "a3696d67a773697a655f676201a6736861706573c0a6726567696f6ec0a8746f676574686572c2a56170617274c2a"
     "b"
     "7265636c61696d61626c65c3aa65787065637465645f730ab0736e617073686f745f65766572795f7300aa736e617"
     "0"
     "73686f745f7300a56475655f73c0"},
    {"job/req-000002",
     "83a26174cf0000018bcfe577b9a66265666f726591aa7265712d303030303031a473706563de0015a76e616d655f6"
     "9"
     "64aa7265712d303030303032a86a6f62636c617373a573686f7274a56f776e6572a466726565a76a6f626b696e64a"
     "5"
     "6172726179a7757267656e6379a87374616e64617264a673686172647301a5636f72657301ac616363656c6572617"
     "4"
     "6f727300a672616d5f676201a662756e646c65a3696d67a773697a655f676201a6736861706573c0a6726567696f6"
     "e"
     "c0a8746f676574686572c2a56170617274c2ab7265636c61696d61626c65c3aa65787065637465645f730ab0736e6"
     "1"
     "7073686f745f65766572795f7300aa736e617073686f745f7300a56475655f73c0a877616974735f6f6e91aa72657"
     "1"
     "2d303030303031"},
    {"job/req-000003",
     "83a26174cf0000018bcfe577c8a66265666f726592aa7265712d303030303031aa7265712d303030303032a473706"
     "5"
     "63de0015a76e616d655f6964aa7265712d303030303033a86a6f62636c617373a573686f7274a56f776e6572a4667"
     "2"
     "6565a76a6f626b696e64a56172726179a7757267656e6379a87374616e64617264a673686172647301a5636f72657"
     "3"
     "01ac616363656c657261746f727300a672616d5f676201a662756e646c65a3696d67a773697a655f676201a673686"
     "1"
     "706573c0a6726567696f6ec0a8746f676574686572c2a56170617274c2ab7265636c61696d61626c65c3aa6578706"
     "5"
     "637465645f730ab0736e617073686f745f65766572795f7300aa736e617073686f745f7300a56475655f73c0a8776"
     "1"
     "6974735f6f6e91aa7265712d303030303032"},
    {"prog/req-000001/t0+3",
     "87a17603a466726f6d00a473697a6503a4646f6e65a131a8736869656c646564a0a462617365ce10000002a574617"
     "3"
     "6b739195a9766d2d30303030303001000201"},
    {"rent/!format", "81a17603"},
    {"rent/1-1",
     "87a17602a5636c61696da3312d31a57368617065a3626967a6726567696f6ea161ab7265636c61696d61626c65c3a"
     "8"
     "686f775f6d616e7901a5686f73747391a9766d2d303030303030"},
    {"end/req-000003", "82a57068617365a977697468647261776ea26174cf0000018bcfe596c2"},
};

// Heartbeats between controllers, as the version in production and the first one with chains write
// them.
const char kProductionHeartbeat[] =
    "89a17601a46e6f6465a66e6f64652d31a47465726d07a56c65616473c3a57374617465c3a46a6f62739193aa726571"
    "2d3030303030310201a36c6f6763a466726f6d03a977697468647261776e92aa7265712d303030303034aa7265712d"
    "303030303035";
const char kFirstWithChainsHeartbeat[] =
    "8aa17601a46e6f6465a66e6f64652d31a47465726d07a56c65616473c3a57374617465c3a46a6f62739193aa726571"
    "2d3030303030310201a36c6f6763a466726f6d03a6666f726d617403a977697468647261776e92aa7265712d303030"
    "303034aa7265712d303030303035";

std::string bytes(const std::string& hex) {
    std::string out;
    for (std::size_t i = 0; i < hex.size(); i += 2) {
        out += static_cast<char>(std::stoi(hex.substr(i, 2), nullptr, 16));
    }
    return out;
}

config::Config with_a_peer_unheard() {
    auto config = ControllerHarness::config();
    config.peers.push_back({ControllerName("node-1"), "a", "node-1"});
    return config;
}

// The value without the time of day in its field `at`.
std::string without_times(const std::string& value) {
    const auto doc = wire::Document::parse(value);
    if (!doc || !doc->root().contains("at")) return value;
    const std::string field(
        "\xa2"
        "at",
        3);
    auto out = value;
    const auto at = out.find(field);
    constexpr std::size_t packed_count = 9;  // of eight bytes, after its type
    return out.erase(at + field.size(), packed_count);
}

// The tasks of the one job that may run begin on a machine, and the first of them ends.
void begin_tasks_and_end_first(ControllerHarness& harness) {
    auto w = harness.machine(0);
    w.heartbeat.token = harness.send_heartbeat(w.next_heartbeat()).second.token;
    harness.run(Millis(500));
    harness.send_heartbeat(w.next_heartbeat());
    harness.run(Millis(300));
    ASSERT_EQ(harness.commands_in_flight().size(), 1u);
    for (const auto& order : harness.commands_in_flight()[0].commands.commands) {
        wire::TaskStatus t;
        t.task = order.task;
        t.attempt = order.attempt;
        t.phase = order.task.index == 0 ? wire::TaskPhase::exited : wire::TaskPhase::running;
        if (order.task.index == 0) t.reason = wire::ExitReason::done;
        w.heartbeat.tasks.push_back(t);
    }
    harness.answer(harness.commands_in_flight()[0], 200, w.next_heartbeat());
    harness.run(Millis(3000));
}

void run_three_tasks(ControllerHarness& harness) {
    harness.run(Millis(3000));
    ASSERT_EQ(harness.submit(job(1, 3)), 201);
    begin_tasks_and_end_first(harness);
}

// Until the switch, what the new version writes is what production writes, to the letter; so is
// what the simulation's old nodes write.
TEST(ProductionFormat, IsWrittenUntilTheSwitch) {
    for (const std::uint64_t format : {2, 3}) {
        auto config = with_a_peer_unheard();
        config.newest_record_format = format;
        ControllerHarness harness(1, config);
        run_three_tasks(harness);
        for (const auto& [key, hex] : kProduction) {
            if (std::string(key).starts_with("job/")) continue;  // it holds the time of day
            EXPECT_EQ(harness.state().value(key), bytes(hex)) << key << " format " << format;
        }
    }
}

// The same for what the first version with chains writes once its format is in force, as long as
// some controller may still be of that version.
TEST(FirstFormatWithDependencies, IsWrittenWhileItIsInForce) {
    auto config = ControllerHarness::config();
    config.newest_record_format = 3;
    ControllerHarness harness(1, config);
    harness.run(Millis(3000));
    ASSERT_EQ(harness.submit(job(1, 3)), 201);
    auto second = job(2);
    second.dependencies = {job(1).id};
    ASSERT_EQ(harness.submit(second), 201);
    auto third = job(3);
    third.dependencies = {job(2).id};
    ASSERT_EQ(harness.submit(third), 201);
    begin_tasks_and_end_first(harness);
    ASSERT_EQ(harness.request("POST", "/v1/jobs/req-000003/abort", {}).status, 200);
    for (const auto& [key, hex] : kFirstWithChains) {
        EXPECT_EQ(without_times(harness.state().value(key)), without_times(bytes(hex))) << key;
    }
}

TEST(FirstFormatWithDependencies, IsRead) {
    ControllerHarness harness(1);
    for (const auto& [key, hex] : kFirstWithChains) harness.write(key, bytes(hex));
    harness.run(Millis(6000));
    ASSERT_TRUE(harness.leads());
    EXPECT_EQ(harness.recorded_hosts(JobId("req-000001")), std::vector<std::string>{"vm-000000"});
    EXPECT_EQ(harness.phase(JobId("req-000002")), "pending");
    EXPECT_EQ(harness.phase(JobId("req-000003")), "withdrawn");
    // It waits on: nothing of the second job is placed while the first has tasks left.
    EXPECT_TRUE(harness.recorded_hosts(JobId("req-000002")).empty());
}

TEST(Heartbeat, OfEitherEarlierVersionIsRead) {
    for (const std::string hex : {kProductionHeartbeat, kFirstWithChainsHeartbeat}) {
        const auto packed = bytes(hex);
        const auto doc = wire::Document::parse(packed);
        ASSERT_TRUE(doc);
        const auto heard = coordination::decode_peer_heartbeat(doc->root());
        EXPECT_EQ(heard.node, ControllerName("node-1"));
        EXPECT_EQ(heard.term, Term(7));
        EXPECT_TRUE(heard.is_active_leader);
        EXPECT_TRUE(heard.kv_reachable);
        EXPECT_EQ(heard.format, hex == kProductionHeartbeat ? 2u : 3u);
        EXPECT_EQ(heard.cancellations.incarnation, 99u);
        EXPECT_EQ(heard.cancellations.first_sequence, 3u);
        EXPECT_EQ(heard.cancellations.jobs,
                  (std::vector{JobId("req-000004"), JobId("req-000005")}));
        ASSERT_EQ(heard.progress.size(), 1u);
        EXPECT_EQ(heard.progress[0].done, 2u);
        EXPECT_EQ(heard.progress[0].running, 1u);
    }
}

// What this version says of itself, but for the format that it knows, is what the one before said.
TEST(Heartbeat, IsWrittenAsBefore) {
    coordination::PeerHeartbeat heartbeat;
    heartbeat.node = ControllerName("node-1");
    heartbeat.term = Term(7);
    heartbeat.is_active_leader = heartbeat.kv_reachable = true;
    heartbeat.cancellations = {99, 3, {JobId("req-000004"), JobId("req-000005")}};
    heartbeat.progress = {{JobId("req-000001"), 2, 1}};
    heartbeat.format = 3;
    EXPECT_EQ(coordination::encode(heartbeat), bytes(kFirstWithChainsHeartbeat));
}

TEST(ProductionFormat, IsRead) {
    ControllerHarness harness(1);
    for (const auto& [key, hex] : kProduction) harness.write(key, bytes(hex));
    harness.run(Millis(6000));
    ASSERT_TRUE(harness.leads());
    EXPECT_EQ(harness.recorded_hosts(JobId("req-000001")), std::vector<std::string>{"vm-000000"});
    const auto answer = harness.request("GET", "/v1/jobs/req-000001", {});
    const auto doc = wire::Document::parse(answer.body);
    EXPECT_EQ(doc->root()["done"].count(), 1u);
}

// After the switch the older version does not act on what it would misread.
TEST(ProductionFormat, TheOlderVersionStopsAtTheFormatMark) {
    auto config = ControllerHarness::config();
    config.newest_record_format = 2;
    ControllerHarness harness(1, config);
    harness.write(kv::kFormatMarkerKey, wire::Writer().map(1).text("v").count(3).take());
    for (const auto& [key, hex] : kProduction) harness.write(key, bytes(hex));
    harness.run(Millis(8000));
    EXPECT_FALSE(harness.leads());
    EXPECT_TRUE(harness.logged("event=invalid_record key=rent/!format"));
}

// What no longer fits a record is put off, and the rest of the job goes on.
TEST(LimitsBeforeFormatSwitch, AJobRunsAsManyTasksAsCanBeRecorded) {
    auto config = with_a_peer_unheard();
    config.kv_limits = config::KvLimits({200, 80, 16, 48}, config::KvLimits::Set{200, 80, 1, 16});
    ControllerHarness harness(1, config);
    harness.run(Millis(3000));
    auto large = job(1, 256);
    large.cores = large.ram_gb = 0.05;
    ASSERT_EQ(harness.submit(large), 201);
    harness.state().set_limits({200, 80, 16, 1024, 20});
    auto w = harness.machine(0);
    acknowledge_token(harness, w);
    run_workers(harness, {&w}, 12);
    const auto first = w.heartbeat.tasks.size();
    EXPECT_GT(first, 20u);
    EXPECT_LT(first, 256u);
    finish_task(w, large.id);
    run_workers(harness, {&w}, 12);
    EXPECT_GT(w.heartbeat.tasks.size(), 20u);  // others have taken their place
    EXPECT_LE(harness.state().violations(), 2u);
}

}  // namespace
}  // namespace dunebridge::sim
