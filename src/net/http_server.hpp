/// \file
/// HTTP/1.1 server with a connection limit that is divided among kinds of clients.
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

/// A request as received, before routing.
struct HttpRequest {
    RequestId id;
    std::string method;
    std::string target;
    std::string body;
    /// The header or body exceeded the limit: the method, target and body may be incomplete.
    bool too_large = false;
};

/// HTTP server that passes requests to a handler and writes the responses when respond() gives
/// them.
///
/// The latest request of a connection determines its group, and each group has a share of the
/// connections. When the connection limit is reached, a new connection replaces an idle one of the
/// group that exceeds its share the most, so that no kind of client can lock the others out. Not
/// thread-safe: use it from the event loop's thread only.
class HttpServer {
  public:
    /// Invoked with each request. respond() must be called with its id, at once or later.
    using Handler = std::function<void(HttpRequest&&)>;
    /// Largest number of connections, and how long an idle one is kept open.
    struct Limits {
        std::size_t connections = 100;
        std::chrono::milliseconds idle{60000};
    };

    /// Binds to `address` and listens. Ids of requests count up from `id_base`, exclusive. Throws
    /// boost::system::system_error.
    HttpServer(boost::asio::io_context& io, const std::string& address, Limits limits,
               std::uint64_t id_base, Handler handler);
    /// Sets the callback that is invoked after connections have been accepted.
    void on_connections_accepted(std::function<void()> callback) {
        connections_accepted_ = std::move(callback);
    }
    /// Starts accepting connections.
    void start();
    /// Responds to the request with the id in `response`. Ignored if there is no such request.
    void respond(sansio::HttpResponse&& response);
    std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
    std::size_t connections() const { return sessions_.size(); }

  private:
    // unclassified: no request yet; worker: heartbeats of workers; user: everything else.
    enum class Group : std::uint8_t { unclassified, worker, user };
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
    static Response to_beast_response(sansio::HttpResponse&& from, bool keep_alive);
    boost::asio::awaitable<void> sweep();
    void close_expired();
    bool evict_idle();
    // Returns the connections of the group divided by its share; above 1 if it exceeds the share.
    double share_usage(Group group) const;
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
    std::array<Sessions, kGroups> idle_;  // by group, longest idle first
    std::unordered_map<RequestId, std::shared_ptr<Session>> waiting_;
};

/// Parses an endpoint such as "10.0.0.1:8080". The port is 0 if there is none. Throws
/// boost::system::system_error.
boost::asio::ip::tcp::endpoint parse_endpoint(const std::string& address);

}  // namespace dunebridge::net
