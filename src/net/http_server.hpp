// HTTP/1.1 server: reads requests, hands them over, and writes the answers when they come.
//
// Connections belong to a group by what was last asked on them, and each group has its share of the
// places. When all are taken, a new connection gets the place of one that waits for nothing, out of
// the group that is furthest over its share: so none of them can shut the others out.
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
    struct Limits {
        std::size_t connections = 100;
        std::chrono::milliseconds idle{60000};
    };

    HttpServer(boost::asio::io_context& io, const std::string& address, Limits limits,
               std::uint64_t id_base, Handler handler);
    // Called when connections have come.
    void on_growth(std::function<void()> grown) { grown_ = std::move(grown); }
    void start();
    // Hands an answer to the connection that waits for it, if it is still there.
    void answer(sansio::HttpResponse&& answer);
    std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
    std::size_t connections() const { return sessions_.size(); }

  private:
    // fresh: nothing has been asked yet; worker: check-ins; user: all else.
    enum class Group : std::uint8_t { fresh, worker, user };
    static constexpr std::size_t kGroups = 3;
    struct Session;
    using Sessions = std::list<Session*>;
    boost::asio::awaitable<void> accept_loop();
    void accept_waiting();
    void welcome(boost::asio::ip::tcp::socket socket);
    using Request = boost::beast::http::request<boost::beast::http::string_body>;
    using Response = boost::beast::http::response<boost::beast::http::string_body>;
    boost::asio::awaitable<void> serve(std::shared_ptr<Session> session);
    void regroup(const std::shared_ptr<Session>& session, std::string_view target);
    void hand_over(const std::shared_ptr<Session>& session, Request&& request, bool too_large);
    static Response response_to(sansio::HttpResponse&& answer, bool keep);
    boost::asio::awaitable<void> sweep();
    void close_overdue();
    bool make_place();
    // How full the group's share of the places is.
    double fullness(Group group) const;
    bool crowded(Group group) const;
    void join(Session& session, Group group);
    void set_busy(Session& session, bool busy);
    void leave(Session& session);

    boost::asio::io_context& io_;
    boost::asio::ip::tcp::acceptor acceptor_;
    Limits limits_;
    std::uint64_t next_id_;
    Handler handler_;
    std::function<void()> grown_ = [] {};
    std::unordered_map<Session*, std::weak_ptr<Session>> sessions_;
    std::array<std::size_t, kGroups> counts_{};
    std::array<Sessions, kGroups> idle_;  // wait for a request; the one quiet for longest first
    std::unordered_map<RequestId, std::shared_ptr<Session>> waiting_;
};

// "10.0.0.1:8080" as an endpoint. Throws boost::system::system_error if it is none.
boost::asio::ip::tcp::endpoint parse_endpoint(const std::string& address);

}  // namespace dunebridge::net
