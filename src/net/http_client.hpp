// HTTP/1.1 client: kept connections per address, one request at a time on each, a deadline for
// every call, and no more sockets than it may have over all addresses.
#pragma once

#include <chrono>
#include <list>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/types.hpp"
#include "net/asio.hpp"
#include "sansio/context.hpp"

namespace dunebridge::net {

class HttpClient {
  public:
    // Connections idle for longer than the limit are closed by sweep(); where a new one finds no
    // place, the one idle for longest is closed for it.
    HttpClient(boost::asio::io_context& io, std::size_t max_connections,
               std::chrono::seconds idle_limit)
        : io_(io), max_connections_(max_connections), idle_limit_(idle_limit) {}

    // With all places in use the call is not sent, and says so at once.
    boost::asio::awaitable<sansio::HttpResult> call(std::string address, std::string method,
                                                    std::string target, std::string body,
                                                    Millis timeout);
    void sweep();
    // Another bound from now on; idle connections beyond it are closed.
    void set_max(std::size_t max_connections);
    std::size_t connections() const { return *open_; }

  private:
    struct Connection;
    using ConnectionPtr = std::shared_ptr<Connection>;
    using Idle = std::list<std::pair<std::string, ConnectionPtr>>;

    ConnectionPtr take_idle(const std::string& address);
    ConnectionPtr new_connection();
    void keep(std::string address, ConnectionPtr connection);
    void drop_oldest();
    static void set_deadline(const ConnectionPtr& connection, Millis timeout);
    boost::asio::awaitable<sansio::HttpResult> exchange(ConnectionPtr connection,
                                                        std::string address, std::string method,
                                                        std::string target, std::string body);

    boost::asio::io_context& io_;
    std::size_t max_connections_;
    std::chrono::seconds idle_limit_;
    // Shared with the connections, which count themselves and may outlive the client.
    std::shared_ptr<std::size_t> open_ = std::make_shared<std::size_t>(0);
    Idle idle_;  // the one idle for longest first
    std::unordered_map<std::string, std::vector<Idle::iterator>> by_address_;
};

}  // namespace dunebridge::net
