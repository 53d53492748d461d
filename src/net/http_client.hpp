/// \file
/// HTTP/1.1 client with keep-alive connections, timeouts and a connection limit.
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

/// HTTP client that sends one request at a time on each connection and keeps idle connections open
/// for each address. The connection limit applies to all addresses together. Not thread-safe: use
/// it from the event loop's thread only.
class HttpClient {
  public:
    /// sweep() closes connections that have been idle for longer than `idle_limit`. If a new
    /// connection would exceed `max_connections`, the longest idle one is closed first.
    HttpClient(boost::asio::io_context& io, std::size_t max_connections,
               std::chrono::seconds idle_limit)
        : io_(io), max_connections_(max_connections), idle_limit_(idle_limit) {}

    /// Sends a request and waits for the response until the timeout. Never throws: without a
    /// response, the result says whether the request may have been sent. Completes immediately with
    /// CallOutcome::not_sent if all connections are in use.
    boost::asio::awaitable<sansio::HttpResult> call(std::string address, std::string method,
                                                    std::string target, std::string body,
                                                    Millis timeout);
    /// Closes connections that have been idle for too long. The owner must call it periodically.
    void sweep();
    /// Changes the connection limit and closes idle connections above it. Busy ones stay open.
    void set_max_connections(std::size_t max_connections);
    /// Returns the number of open connections, both busy and idle.
    std::size_t connections() const { return *open_count_; }

  private:
    struct Connection;
    using ConnectionPtr = std::shared_ptr<Connection>;
    using IdleList = std::list<std::pair<std::string, ConnectionPtr>>;

    ConnectionPtr take_idle(const std::string& address);
    ConnectionPtr new_connection();
    void add_idle(std::string address, ConnectionPtr connection);
    void close_oldest_idle();
    static void set_deadline(const ConnectionPtr& connection, Millis timeout);
    boost::asio::awaitable<sansio::HttpResult> exchange(ConnectionPtr connection,
                                                        std::string address, std::string method,
                                                        std::string target, std::string body);

    boost::asio::io_context& io_;
    std::size_t max_connections_;
    std::chrono::seconds idle_limit_;
    // Number of open connections. Shared with the connections, which update it and may outlive the
    // client.
    std::shared_ptr<std::size_t> open_count_ = std::make_shared<std::size_t>(0);
    IdleList idle_;  // longest idle first
    std::unordered_map<std::string, std::vector<IdleList::iterator>> by_address_;
};

}  // namespace dunebridge::net
