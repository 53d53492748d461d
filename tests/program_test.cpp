// The whole program on loopback, with nothing behind it: every request is answered at once.
#include <gtest/gtest.h>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <thread>

#include "app/runtime.hpp"
#include "app/settings.hpp"
#include "settings_fixture.hpp"

namespace dunebridge::app {
namespace {

namespace http = boost::beast::http;
using tcp = boost::asio::ip::tcp;

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
    // Whether a job is known cannot be told without the key-value store.
    EXPECT_EQ(status_of("GET", "/v1/jobs/req-1", ""), 503);
    EXPECT_EQ(status_of("POST", "/v1/jobs/req-1/abort", ""), 503);
    EXPECT_EQ(status_of("POST", "/checkin", "\x80"), 503);
}

}  // namespace
}  // namespace dunebridge::app
