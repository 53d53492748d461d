// HTTP/1.1 server: reads requests, hands them over, and writes the answers when they come.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "base/types.hpp"
#include "core/port.hpp"
#include "net/asio.hpp"

namespace dunebridge::net {

struct HttpRequest {
    RequestId id;
    std::string method;
    std::string target;
    std::string body;
    bool too_large = false;
};

class HttpServer {
  public:
    using Handler = std::function<void(HttpRequest&&)>;

    HttpServer(boost::asio::io_context& io, const std::string& address, std::size_t max_connections,
               std::uint64_t id_base, Handler handler);
    void start();
    // Hands an answer to the connection that waits for it, if it is still there.
    void answer(core::Answer&& answer);
    std::uint16_t port() const { return acceptor_.local_endpoint().port(); }

  private:
    struct Session;
    boost::asio::awaitable<void> accept_loop();
    boost::asio::awaitable<void> serve(std::shared_ptr<Session> session);
    boost::asio::awaitable<void> sweep();

    boost::asio::io_context& io_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::size_t max_connections_;
    std::uint64_t next_id_;
    Handler handler_;
    std::unordered_map<Session*, std::weak_ptr<Session>> sessions_;
    std::unordered_map<RequestId, std::shared_ptr<Session>> waiting_;
};

// "10.0.0.1:8080" as an endpoint. Throws boost::system::system_error if it is none.
boost::asio::ip::tcp::endpoint parse_endpoint(const std::string& address);

}  // namespace dunebridge::net
