/// \file
/// HTTP/1.1 server with a bound on connections that is shared out between kinds of clients.
#pragma once

#include <array>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

#include "base/types.hpp"
#include "net/asio.hpp"
#include "sansio/context.hpp"

namespace dunebridge::net {

/// A request as it was read, before routing.
struct HttpRequest {
    RequestId id;
    std::string method;
    std::string target;
    std::string body;
    bool too_large = false;
};

/// Reads requests, passes them to a handler, and writes the responses when they are given.
///
/// A connection belongs to a group by its last request, and each group has a share of the
/// connections. When all connections are taken, a new one replaces an idle one of the group that is
/// furthest over its share, so that no kind of client can shut the others out. Used from the event
/// loop's thread only.
class HttpServer {
  public:
    /// Called with each request; respond() responds to it by its id, now or later.
    using Handler = std::function<void(HttpRequest&&)>;
    /// Bounds on connections, and how long an idle one is kept.
    struct Limits {
        std::size_t connections = 100;
        std::chrono::milliseconds idle{60000};
    };

    HttpServer(boost::asio::io_context& io, const std::string& address, Limits limits,
               std::uint64_t id_base, Handler handler);
    /// Sets what is called after connections have been accepted.
    void on_connections_accepted(std::function<void()> grown) {
        connections_accepted_ = std::move(grown);
    }
    /// Starts to accept connections.
    void start();
    /// Responds to a request, if its connection is still open.
    void respond(sansio::HttpResponse&& response);
    std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
    std::size_t connections() const { return sessions_.size(); }

  private:
    // fresh: no request yet; worker: heartbeats of workers; user: everything else.
    enum class Group : std::uint8_t { fresh, worker, user };
    static constexpr std::size_t kGroups = 3;
    struct Session;
    using Sessions = std::list<Session*>;
    boost::asio::awaitable<void> accept_loop();
    void accept_queued();
    void admit(boost::asio::ip::tcp::socket socket);
    using Request = boost::beast::http::request<boost::beast::http::string_body>;
    using Response = boost::beast::http::response<boost::beast::http::string_body>;
    boost::asio::awaitable<void> serve(std::shared_ptr<Session> session);
    void change_group(const std::shared_ptr<Session>& session, std::string_view target);
    void dispatch(const std::shared_ptr<Session>& session, Request&& request, bool too_large);
    static Response response_to(sansio::HttpResponse&& answer, bool keep);
    boost::asio::awaitable<void> sweep();
    void close_expired();
    bool evict_idle();
    // The part of its share of connections that the group uses.
    double share_in_use(Group group) const;
    bool over_share(Group group) const;
    void add_to_group(Session& session, Group group);
    void set_busy(Session& session, bool busy);
    void remove(Session& session);

    boost::asio::io_context& io_;
    boost::asio::ip::tcp::acceptor acceptor_;
    Limits limits_;
    std::uint64_t next_id_;
    Handler handler_;
    std::function<void()> connections_accepted_ = [] {};
    std::unordered_map<Session*, std::weak_ptr<Session>> sessions_;
    std::array<std::size_t, kGroups> counts_{};
    std::array<Sessions, kGroups> idle_;  // without a request, longest idle first
    std::unordered_map<RequestId, std::shared_ptr<Session>> waiting_;
};

/// Parses an endpoint such as "10.0.0.1:8080". Throws boost::system::system_error.
boost::asio::ip::tcp::endpoint parse_endpoint(const std::string& address);

}  // namespace dunebridge::net
