/// \file
/// The event loop that drives the controller.
#pragma once

#include <spdlog/common.h>

#include <memory>
#include <vector>

#include "controller/controller.hpp"
#include "net/asio.hpp"
#include "net/http_client.hpp"
#include "net/http_server.hpp"

namespace dunebridge::app {

/// Converts a log level to that of spdlog.
spdlog::level::level_enum to_spdlog(sansio::LogLevel level);

/// Event loop that passes requests and call results to the controller and executes the effects that
/// it returns: HTTP calls, responses and log lines.
///
/// Single-threaded. Commands that arrive in the same turn of the loop are applied as one batch.
/// Effects decided before a stall of the process are discarded, since another controller may have
/// become leader meanwhile.
class Runtime {
  public:
    /// Binds both servers. `seed` seeds the random numbers of the controller. Throws
    /// boost::system::system_error.
    Runtime(const config::Config& config, sansio::LogLevel level, std::uint64_t seed);
    /// Runs the event loop until the process ends.
    void run();

  private:
    void post(controller::Command&& command);
    void step();
    void execute(sansio::Effects&& effects);
    void discard_effects(sansio::Effects&& effects);
    void arm_timer(Instant wake);
    void catch_up_after_stall(Millis late);
    boost::asio::awaitable<void> call(sansio::HttpCall request, Instant decided_at);
    void update_worker_connection_limit();
    boost::asio::awaitable<void> sweep();
    static Instant now();

    const config::Config config_;
    const config::SocketBudget sockets_;
    boost::asio::io_context io_{1};
    controller::Controller controller_;
    net::HttpClient service_client_;  // to the key-value store and the cloud
    net::HttpClient peer_client_;
    net::HttpClient worker_client_;  // to workers
    std::unique_ptr<net::HttpServer> public_server_;
    std::unique_ptr<net::HttpServer> peer_server_;
    std::vector<controller::Command> queue_;
    bool step_posted_ = false;
    boost::asio::steady_timer timer_{io_};
    Instant timer_expiry_{};  // expiry of the timer; zero: not set
};

}  // namespace dunebridge::app
