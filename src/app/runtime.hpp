/// \file
/// The event loop around the controller.
#pragma once

#include <spdlog/common.h>

#include <memory>
#include <vector>

#include "controller/controller.hpp"
#include "net/asio.hpp"
#include "net/http_client.hpp"
#include "net/http_server.hpp"

namespace dunebridge::app {

/// The level of the logging library that stands for ours.
spdlog::level::level_enum to_spdlog(sansio::LogLevel level);

/// Carries requests and results of calls to the controller, and its effects to the network and the
/// log.
///
/// Single-threaded: commands that arrive in one turn of the loop are applied as one batch. After a
/// stall of the process nothing that was decided before it is carried out, since another controller
/// may lead meanwhile.
class Runtime {
  public:
    Runtime(const config::Config& config, sansio::LogLevel level, std::uint64_t seed);
    /// Serves until the process ends.
    void run();

  private:
    void post(controller::Command&& command);
    void step();
    void carry_out(sansio::Effects&& effects);
    void refuse_effects(sansio::Effects&& effects);
    void arm_timer(Instant wake);
    void catch_up_after_stall(Millis late);
    boost::asio::awaitable<void> call(sansio::HttpCall call, Instant decided);
    void share_sockets();
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
    Instant timer_at_{};  // when the timer fires; zero: not set
};

}  // namespace dunebridge::app
