// The HTTP server and client: connection limits, idle connections, and responses after a stall.
#include <gtest/gtest.h>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <thread>

#include "app/runtime.hpp"

namespace dunebridge::app {
namespace {

namespace http = boost::beast::http;
using tcp = boost::asio::ip::tcp;

// Runs an io_context with a server in it that answers everything with 200 at once.
class SocketsTest : public testing::Test {
  protected:
    net::HttpServer& serve(std::size_t connections) {
        const auto n = servers_.size();
        servers_.push_back(std::make_unique<net::HttpServer>(
            io_, "127.0.0.1:0", net::HttpServer::Limits{connections, std::chrono::minutes(1)},
            n << 32, [this, n](net::HttpRequest&& r) {
                boost::asio::post(io_, [this, n, id = r.id] {
                    servers_[n]->respond({id, 200, {}, {}});
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

// Every place is taken by idle heartbeat connections, then by ones that never ask: a user still
// gets an answer each time, and those with the most places lose one.
TEST_F(SocketsTest, NoGroupOfClientsShutsOutAnother) {
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
    sansio::HttpResult refused;
    boost::asio::co_spawn(
        io_,
        [&]() -> boost::asio::awaitable<void> {
            for (const auto& address : addresses) {
                const auto reply = co_await call(address);
                statuses.push_back(reply.status);
                EXPECT_LE(client.connections(), 2u);
            }
            client.set_max_connections(1);
            EXPECT_EQ(client.connections(), 1u);
            client.set_max_connections(0);
            EXPECT_EQ(client.connections(), 0u);
            // No place at all: certainly not sent, and said at once.
            refused = co_await call(addresses[0]);
            io_.stop();
        },
        boost::asio::detached);
    run();
    thread_.join();
    EXPECT_EQ(statuses, (std::vector<int>{200, 200, 200, 200}));
    EXPECT_EQ(refused.outcome, sansio::CallOutcome::not_sent);
}

// The process stalls for longer than the call may take; the answer, too long to be read at
// once, came before that time was over. It is read, not given up.
TEST_F(SocketsTest, AResponseThatArrivedDuringAStallIsRead) {
    constexpr std::size_t bytes = std::size_t{4} * 1024 * 1024;
    boost::asio::steady_timer delay(io_);
    std::unique_ptr<net::HttpServer> server;
    server = std::make_unique<net::HttpServer>(
        io_, "127.0.0.1:0", net::HttpServer::Limits{10, std::chrono::minutes(1)}, 0,
        [&](net::HttpRequest&& request) {
            delay.expires_after(std::chrono::milliseconds(60));
            delay.async_wait([&, id = request.id](boost::system::error_code) {
                server->respond({id, 200, std::string(bytes, 'x'), {}});
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
        EXPECT_LT(
            b.service_client + b.peer_client + b.peer_server + b.public_server + b.worker_client,
            limit);
        EXPECT_GE(std::min({b.service_client, b.peer_client, b.peer_server, b.worker_client}), 2u);
        EXPECT_GT(b.public_server, limit / 4);
        EXPECT_EQ(b.max_worker_connections(0) + 0, b.worker_client + b.public_server);
        EXPECT_EQ(b.max_worker_connections(b.public_server * 2), b.worker_client);
    }
}

}  // namespace
}  // namespace dunebridge::app
