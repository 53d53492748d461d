// Reading the settings and operators' files: valid, invalid, and unusual but valid ones.
#include "app/settings.hpp"

#include <gtest/gtest.h>

#include "controller/controller.hpp"
#include "settings_fixture.hpp"

namespace dunebridge::app {
namespace {

std::string complaint(const std::string& path, const std::string& operators = {}) {
    try {
        load_settings(path, operators);
        return {};
    } catch (const SettingsError& e) {
        return e.what();
    }
}

TEST_F(FilesTest, SettingsAreReadAndUnknownFieldsIgnored) {
    const auto config = load_settings(write("good.toml", settings()), {});
    EXPECT_EQ(config.name.get(), "n0");
    EXPECT_EQ(config.worker_lease, Millis(30000));
    ASSERT_EQ(config.teams.size(), 1u);
    EXPECT_DOUBLE_EQ(config.teams[0].cpus_max, 16);
}

TEST_F(FilesTest, FutureLimitsOfTheKeyValueStore) {
    const auto today = load_settings(write("today.toml", settings()), {}).kv_limits;
    EXPECT_EQ(today.value_bytes(), 16u * 1024);
    EXPECT_EQ(today.max_preconditions(), 192u);
    const auto next = settings() + "[cluster.state.next]\nvalue_kb = 2\ntxn_ops = 16\nrps = 900\n";
    const auto lower = load_settings(write("next.toml", next), {}).kv_limits;
    EXPECT_EQ(lower.value_bytes(), 2u * 1024);
    EXPECT_EQ(lower.value_bytes_now(false), 16u * 1024);
    EXPECT_EQ(lower.value_bytes_now(true), 2u * 1024);
    EXPECT_EQ(lower.txn_ops(), 16u);
    EXPECT_DOUBLE_EQ(lower.rps(), 200);  // the smaller of the two
    EXPECT_DOUBLE_EQ(lower.write_rps(), 80);
    const auto bad = write("bad_next.toml", settings() + "[cluster.state.next]\nvalue_kb = 0\n");
    EXPECT_NE(complaint(bad).find("cluster.state.next.value_kb"), std::string::npos);
}

TEST_F(FilesTest, ErrorsNameFileAndField) {
    const auto bad = write("bad.toml", settings("lease_s = \"long\""));
    EXPECT_NE(complaint(bad).find(bad + ": cluster.workers.lease_s"), std::string::npos);
    const auto missing = write("missing.toml", settings(""));
    EXPECT_NE(complaint(missing).find("cluster.workers.lease_s"), std::string::npos);
    EXPECT_NE(complaint(write("broken.toml", "label = ")).find("line 1"), std::string::npos);
}

TEST_F(FilesTest, OperatorsSettingsAreReadAndChecked) {
    const auto toml = write("o.toml", settings());
    const auto good = write("o.xml", "<dunebridge><fleet headroom=\"1.5\"/></dunebridge>");
    EXPECT_DOUBLE_EQ(load_settings(toml, good).tuning.headroom, 1.5);
    const auto bad = write("b.xml", "<dunebridge><fleet headroom=\"lots\"/></dunebridge>");
    EXPECT_NE(complaint(toml, bad).find("fleet@headroom"), std::string::npos);
    const auto line = write("l.xml", "<dunebridge><preemption from=\"idle\"/></dunebridge>");
    EXPECT_NE(complaint(toml, line).find("preemption@from"), std::string::npos);
}

std::string odd_settings(int zones, int others, bool teams, const std::string& quota) {
    std::string text =
        "label = \"n0\"\ndomain = \"z0\"\npublic_addr = \"127.0.0.1:18281\"\n"
        "back = \"127.0.0.1:18282\"\n";
    for (int i = 1; i <= others; ++i) {
        text += "[[known]]\nlabel = \"n" + std::to_string(i) +
                "\"\ndomain = \"z0\"\naddr = " + "\"127.0.0.1:" + std::to_string(18300 + i) +
                "\"\nunknown = [1, 2]\n";
    }
    text +=
        "[external]\ncloud = \"127.0.0.1:1\"\nstate = \"127.0.0.1:2\"\n"
        "[cluster]\ninitial_size = 1\nzones = [";
    for (int i = 0; i < zones; ++i) text += "\"z" + std::to_string(i) + "\", ";
    text += "]\nfuture = { a = 1 }\n";
    if (teams) text += "[[cluster.teams]]\nname = \"t\"\ncpus = 1000000\ncpus_max = 0.0\n";
    text += "[[cluster.objectives]]\nkind = \"of another kind\"\nshare = 0.5\n";
    return text +
           "[cluster.workers]\nreport_s = 60\nlease_s = 600\ncancel_s = 900\n"
           "[cluster.state]\nrps = 5\nwrite_rps = 1\nvalue_kb = 1\ntxn_ops = 4\n"
           "[cluster.cloud]\nrps = 0.1\nlist_lag_s = 0\n[cluster.quota]\n" +
           quota + "\n";
}

TEST_F(FilesTest, UnusualButValidSettingsStart) {
    const std::string tiny = "cpu = 0.01\nmemory_mb = 16\nfd_limit = 32";
    const std::string huge = "cpu = 64\nmemory_mb = 1000000\nfd_limit = 1000000\nmore = true";
    int n = 0;
    for (const auto& text : {odd_settings(1, 0, false, tiny), odd_settings(1, 0, true, huge),
                             odd_settings(60, 6, false, huge), odd_settings(3, 6, true, tiny)}) {
        const auto path = write("odd" + std::to_string(n++) + ".toml", text);
        ASSERT_EQ(complaint(path), "");
        const auto config = load_settings(path, {});
        controller::Controller core(config, 1, sansio::LogLevel::error);
        // Nothing outside answers: it goes on asking, and says that it is not ready.
        std::vector<controller::Command> batch{controller::Request{
            RequestId(1), controller::Listener::front, "GET", "/ready", {}, false}};
        std::size_t calls = 0;
        bool answered = false;
        for (int i = 1; i <= 100; ++i) {
            auto effects = core.apply(std::move(batch), Instant(Millis(i * 100)), 1700000000000);
            batch.clear();
            for (const auto& a : effects.responses) answered = answered || a.status == 503;
            calls += effects.calls.size();
            for (const auto& c : effects.calls) {
                batch.push_back(controller::CallCompleted{
                    c.id, sansio::HttpResult(sansio::CallOutcome::not_sent)});
            }
        }
        EXPECT_TRUE(answered);
        EXPECT_GT(calls, 5u);
    }
}

}  // namespace
}  // namespace dunebridge::app
