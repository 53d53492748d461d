/// \file
/// HTTP/1.1 client with kept connections, deadlines and a bound on sockets.
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

/// Sends requests, one at a time on each connection, and keeps idle connections per address. Never
/// has more sockets open than its bound, over all addresses. Used from the event loop's thread
/// only.
class HttpClient {
  public:
    /// Connections idle for longer than the limit are closed by sweep(). If a new connection would
    /// exceed the bound, the one that has been idle for longest is closed for it.
    HttpClient(boost::asio::io_context& io, std::size_t max_connections,
               std::chrono::seconds idle_limit)
        : io_(io), max_connections_(max_connections), idle_limit_(idle_limit) {}

    /// Sends one request and waits for the response until the timeout. Never throws: the result
    /// tells whether the request was certainly not sent. That is so at once if all connections are
    /// in use.
    boost::asio::awaitable<sansio::HttpResult> call(std::string address, std::string method,
                                                    std::string target, std::string body,
                                                    Millis timeout);
    /// Closes connections that have been idle for too long. To be called periodically.
    void sweep();
    /// Changes the bound; idle connections beyond it are closed.
    void set_max_connections(std::size_t max_connections);
    /// Open connections, in use and idle.
    std::size_t connections() const { return *open_; }

  private:
    struct Connection;
    using ConnectionPtr = std::shared_ptr<Connection>;
    using IdleList = std::list<std::pair<std::string, ConnectionPtr>>;

    ConnectionPtr take_idle(const std::string& address);
    ConnectionPtr new_connection();
    void keep(std::string address, ConnectionPtr connection);
    void close_oldest_idle();
    static void set_deadline(const ConnectionPtr& connection, Millis timeout);
    boost::asio::awaitable<sansio::HttpResult> exchange(ConnectionPtr connection,
                                                        std::string address, std::string method,
                                                        std::string target, std::string body);

    boost::asio::io_context& io_;
    std::size_t max_connections_;
    std::chrono::seconds idle_limit_;
    // Shared with the connections, which count themselves and may outlive the client.
    std::shared_ptr<std::size_t> open_ = std::make_shared<std::size_t>(0);
    IdleList idle_;  // longest idle first
    std::unordered_map<std::string, std::vector<IdleList::iterator>> by_address_;
};

}  // namespace dunebridge::net
