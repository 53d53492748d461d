// Settings, and the HTTP side on loopback, with nothing behind it: every request gets its answer
// at once.
#include <gtest/gtest.h>
#include <unistd.h>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cstdio>
#include <fstream>
#include <thread>

#include "app/runtime.hpp"
#include "app/settings.hpp"

namespace dunebridge::app {
namespace {

namespace http = boost::beast::http;
using tcp = boost::asio::ip::tcp;

class FilesTest : public testing::Test {
  protected:
    std::string write(const std::string& name, const std::string& text) {
        const auto path = testing::TempDir() + "dunebridge-" + std::to_string(::getpid()) + name;
        std::ofstream(path) << text;
        paths_.push_back(path);
        return path;
    }
    void TearDown() override {
        for (const auto& p : paths_) std::remove(p.c_str());
    }

  private:
    std::vector<std::string> paths_;
};

std::string settings(const std::string& lease = "lease_s = 30.0", int port = 18080) {
    return "label = \"n0\"\ndomain = \"a\"\npublic_addr = \"127.0.0.1:" + std::to_string(port) +
           "\"\nback = \"127.0.0.1:" + std::to_string(port + 1) +
           "\"\nnew_field = 3\n[external]\ncloud = \"127.0.0.1:1\"\nstate = \"127.0.0.1:2\"\n"
           "[cluster]\ninitial_size = 1\nzones = [\"a\"]\nskew_ms = 5\n"
           "[[cluster.teams]]\nname = \"red\"\ncpus_max = 16\n"
           "[cluster.workers]\nreport_s = 3\n" +
           lease +
           "\ncancel_s = 50\n[cluster.state]\nrps = 200\nwrite_rps = 80\nvalue_kb = 16\n"
           "txn_ops = 48\n[cluster.cloud]\nrps = 3\nlist_lag_s = 8\n"
           "[cluster.quota]\ncpu = 0.1\nmemory_mb = 100\nfd_limit = 512\n";
}

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

TEST_F(FilesTest, LimitsOfTheStateServiceToCome) {
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

TEST_F(FilesTest, ComplaintsNameFileAndField) {
    const auto bad = write("bad.toml", settings("lease_s = \"long\""));
    EXPECT_NE(complaint(bad).find(bad + ": cluster.workers.lease_s"), std::string::npos);
    const auto missing = write("missing.toml", settings(""));
    EXPECT_NE(complaint(missing).find("cluster.workers.lease_s"), std::string::npos);
    EXPECT_NE(complaint(write("broken.toml", "label = ")).find("line 1"), std::string::npos);
}

TEST_F(FilesTest, OperatorsSettings) {
    const auto toml = write("o.toml", settings());
    const auto good = write("o.xml", "<dunebridge><fleet headroom=\"1.5\"/></dunebridge>");
    EXPECT_DOUBLE_EQ(load_settings(toml, good).tuning.headroom, 1.5);
    const auto bad = write("b.xml", "<dunebridge><fleet headroom=\"lots\"/></dunebridge>");
    EXPECT_NE(complaint(toml, bad).find("fleet@headroom"), std::string::npos);
    const auto line = write("l.xml", "<dunebridge><preemption from=\"idle\"/></dunebridge>");
    EXPECT_NE(complaint(toml, line).find("preemption@from"), std::string::npos);
}

// One request on a connection of its own.
int status_of(const std::string& method, const std::string& target, const std::string& body) {
    boost::asio::io_context io;
    tcp::socket socket(io);
    socket.connect({boost::asio::ip::make_address("127.0.0.1"), 18180});
    http::request<http::string_body> request;
    request.method_string(method);
    request.target(target);
    request.version(11);
    request.body() = body;
    request.prepare_payload();
    http::write(socket, request);
    boost::beast::flat_buffer buffer;
    http::response<http::string_body> response;
    http::read(socket, buffer, response);
    const bool try_later = response.result_int() == 503;
    EXPECT_EQ(try_later, response.find(http::field::retry_after) != response.end());
    return static_cast<int>(response.result_int());
}

TEST_F(FilesTest, RequestsOnLoopback) {
    const auto config = load_settings(write("run.toml", settings("lease_s = 30", 18180)), {});
    // Ends with the test's process: a controller runs until it is killed.
    std::thread([config] { Runtime(config, sansio::LogLevel::error, 1).run(); }).detach();
    for (int i = 0; i < 100; ++i) {
        boost::asio::io_context io;
        tcp::socket probe(io);
        boost::system::error_code ec;
        probe.connect({boost::asio::ip::make_address("127.0.0.1"), 18180}, ec);
        if (!ec) break;
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    EXPECT_EQ(status_of("GET", "/ready", ""), 503);
    EXPECT_EQ(status_of("GET", "/nowhere", ""), 404);
    EXPECT_EQ(status_of("DELETE", "/v1/jobs", ""), 405);
    EXPECT_EQ(status_of("POST", "/v1/jobs", "not a map"), 400);
    EXPECT_EQ(status_of("POST", "/v1/jobs", std::string(70000, 'x')), 400);
    // Whether a job is known cannot be told without the state service.
    EXPECT_EQ(status_of("GET", "/v1/jobs/req-1", ""), 503);
    EXPECT_EQ(status_of("POST", "/v1/jobs/req-1/abort", ""), 503);
    EXPECT_EQ(status_of("POST", "/checkin", "\x80"), 503);
}

// ---- sockets ----

// Runs an io_context with a server in it that answers everything with 200 at once.
class SocketsTest : public testing::Test {
  protected:
    net::HttpServer& serve(std::size_t connections) {
        const auto n = servers_.size();
        servers_.push_back(std::make_unique<net::HttpServer>(
            io_, "127.0.0.1:0", net::HttpServer::Limits{connections, std::chrono::minutes(1)},
            n << 32, [this, n](net::HttpRequest&& r) {
                boost::asio::post(io_, [this, n, id = r.id] {
                    servers_[n]->answer({id, 200, {}, 0});
                });
            }));
        servers_.back()->start();
        return *servers_.back();
    }
    void run() {
        thread_ = std::thread([this] {
            const auto work = boost::asio::make_work_guard(io_);
            io_.run();
        });
    }
    void TearDown() override {
        io_.stop();
        if (thread_.joinable()) thread_.join();
    }
    struct Connection {
        explicit Connection(std::uint16_t port) {
            socket.connect({boost::asio::ip::make_address("127.0.0.1"), port});
        }
        // 0: the connection has been closed.
        int ask(const std::string& target) {
            http::request<http::string_body> request(http::verb::get, target, 11);
            boost::beast::flat_buffer buffer;
            http::response<http::string_body> response;
            boost::system::error_code ec;
            http::write(socket, request, ec);
            if (!ec) http::read(socket, buffer, response, ec);
            return ec ? 0 : static_cast<int>(response.result_int());
        }
        boost::asio::io_context io;
        tcp::socket socket{io};
    };

    boost::asio::io_context io_;
    std::vector<std::unique_ptr<net::HttpServer>> servers_;
    std::thread thread_;
};

// Every place is taken by idle check-in connections, then by ones that never ask: a user still
// gets an answer each time, and those with the most places lose one.
TEST_F(SocketsTest, NoGroupShutsOutAnother) {
    const auto port = serve(10).port();
    run();
    std::vector<std::unique_ptr<Connection>> workers;
    for (int i = 0; i < 10; ++i) {
        workers.push_back(std::make_unique<Connection>(port));
        ASSERT_EQ(workers.back()->ask("/checkin"), 200);
    }
    Connection user(port);
    EXPECT_EQ(user.ask("/v1/jobs/req-1"), 200);
    std::vector<std::unique_ptr<Connection>> silent;
    for (int i = 0; i < 30; ++i) silent.push_back(std::make_unique<Connection>(port));
    EXPECT_EQ(user.ask("/v1/jobs/req-1"), 200);
    EXPECT_EQ(Connection(port).ask("/ready"), 200);
    // The one that reported first was idle for longest; the next was not needed.
    EXPECT_EQ(workers[0]->ask("/checkin"), 0);
    EXPECT_EQ(workers[1]->ask("/checkin"), 200);
}

TEST_F(SocketsTest, TheClientKeepsToItsCapOverAllAddresses) {
    std::vector<std::string> addresses;
    for (int i = 0; i < 4; ++i) {
        addresses.push_back("127.0.0.1:" + std::to_string(serve(10).port()));
    }
    net::HttpClient client(io_, 2, std::chrono::seconds(60));
    const auto call = [&](const std::string& address) {
        return client.call(address, "GET", "/", {}, Millis(2000));
    };
    std::vector<int> statuses;
    boost::asio::co_spawn(
        io_,
        [&]() -> boost::asio::awaitable<void> {
            for (const auto& address : addresses) {
                const auto reply = co_await call(address);
                statuses.push_back(reply.status);
                EXPECT_LE(client.connections(), 2u);
            }
            client.set_max(1);
            EXPECT_EQ(client.connections(), 1u);
            client.set_max(0);
            EXPECT_EQ(client.connections(), 0u);
            // No place at all: certainly not sent, and said at once.
            const auto refused = co_await call(addresses[0]);
            statuses.push_back(refused.status);
            io_.stop();
        },
        boost::asio::detached);
    run();
    thread_.join();
    EXPECT_EQ(statuses, (std::vector<int>{200, 200, 200, 200, -1}));
}

// The process stands still for longer than the call may take; the answer, too long to be read at
// once, came before that time was over. It is read, not given up.
TEST_F(SocketsTest, AnAnswerThatCameDuringAStandStillIsRead) {
    constexpr std::size_t bytes = std::size_t{4} * 1024 * 1024;
    boost::asio::steady_timer delay(io_);
    std::unique_ptr<net::HttpServer> server;
    server = std::make_unique<net::HttpServer>(
        io_, "127.0.0.1:0", net::HttpServer::Limits{10, std::chrono::minutes(1)}, 0,
        [&](net::HttpRequest&& request) {
            delay.expires_after(std::chrono::milliseconds(60));
            delay.async_wait([&, id = request.id](boost::system::error_code) {
                server->answer({id, 200, std::string(bytes, 'x'), 0});
            });
        });
    server->start();
    const auto address = "127.0.0.1:" + std::to_string(server->port());
    run();
    boost::asio::io_context own;
    net::HttpClient client(own, 2, std::chrono::seconds(60));
    sansio::HttpResult reply;
    boost::asio::co_spawn(
        own,
        [&]() -> boost::asio::awaitable<void> {
            reply = co_await client.call(address, "GET", "/", {}, Millis(100));
        },
        boost::asio::detached);
    boost::asio::steady_timer stop(own, std::chrono::milliseconds(30));
    stop.async_wait([](boost::system::error_code) {
        std::this_thread::sleep_for(std::chrono::milliseconds(900));
    });
    own.run();
    EXPECT_EQ(reply.status, 200);
    EXPECT_EQ(reply.body.size(), bytes);
    io_.stop();
    thread_.join();
}

TEST(SocketBudget, SharesNeverAddUpToMoreThanTheLimit) {
    for (const std::size_t limit : {32, 100, 512, 1800, 2928, 3132, 100000}) {
        const config::SocketBudget b(limit);
        EXPECT_LT(b.service + b.peers + b.back + b.front + b.commands, limit);
        EXPECT_GE(std::min({b.service, b.peers, b.back, b.commands}), 2u);
        EXPECT_GT(b.front, limit / 4);
        EXPECT_EQ(b.commands_beside(0) + 0, b.commands + b.front);
        EXPECT_EQ(b.commands_beside(b.front * 2), b.commands);
    }
}

// ---- odd but valid settings ----

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

TEST_F(FilesTest, OddButValidSettingsStart) {
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
            for (const auto& a : effects.answers) answered = answered || a.status == 503;
            calls += effects.calls.size();
            for (const auto& c : effects.calls)
                batch.push_back(
                    controller::CallCompleted{c.id, {sansio::HttpResult::kNotSent, {}}});
        }
        EXPECT_TRUE(answered);
        EXPECT_GT(calls, 5u);
    }
}

}  // namespace
}  // namespace dunebridge::app
