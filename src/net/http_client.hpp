// HTTP/1.1 client: kept connections per address, one request at a time on each, a deadline for
// every call.
#pragma once

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/types.hpp"
#include "core/port.hpp"
#include "net/asio.hpp"

namespace dunebridge::net {

class HttpClient {
  public:
    explicit HttpClient(boost::asio::io_context& io) : io_(io) {}

    boost::asio::awaitable<core::HttpReply> call(std::string address, std::string method,
                                                 std::string target, std::string body,
                                                 Millis timeout);
    // Closes kept connections that have been idle for long.
    void sweep();

  private:
    struct Connection;
    using ConnectionPtr = std::shared_ptr<Connection>;

    ConnectionPtr take_idle(const std::string& address);
    boost::asio::awaitable<core::HttpReply> exchange(ConnectionPtr connection, std::string address,
                                                     std::string method, std::string target,
                                                     std::string body);

    boost::asio::io_context& io_;
    std::unordered_map<std::string, std::vector<ConnectionPtr>> idle_;
};

}  // namespace dunebridge::net
