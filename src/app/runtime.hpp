// Input and output around the core: carries requests and replies in, and effects out.
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

class Runtime {
  public:
    Runtime(const config::Config& config, sansio::LogLevel level, std::uint64_t seed);
    void run();

  private:
    void post(controller::Command&& command);
    void step();
    void carry_out(sansio::Effects&& effects);
    void release(sansio::Effects&& effects);
    void arm(Instant wake);
    void catch_up(Millis late);
    boost::asio::awaitable<void> call(sansio::HttpCall call, Instant decided);
    void share_sockets();
    boost::asio::awaitable<void> sweep();
    static Instant now();

    const config::Config config_;
    const config::SocketBudget sockets_;
    boost::asio::io_context io_{1};
    controller::Controller core_;
    net::HttpClient services_;  // the state service and the cloud
    net::HttpClient peers_;
    net::HttpClient commands_;  // to workers
    std::unique_ptr<net::HttpServer> front_;
    std::unique_ptr<net::HttpServer> back_;
    std::vector<controller::Command> queue_;
    bool step_posted_ = false;
    boost::asio::steady_timer timer_{io_};
    Instant armed_{};  // when it fires; zero: not set
};

}  // namespace dunebridge::app
