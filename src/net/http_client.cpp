#include "net/http_client.hpp"

#include <sys/socket.h>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>

#include "net/http_server.hpp"

namespace dunebridge::net {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

namespace {
constexpr std::size_t kIdlePerAddress = 8;
// If a deadline timer fires this late, the event loop has stalled. A response that arrived before
// the deadline may still be unread, so the call gets the grace period to read it.
constexpr auto kStallThreshold = std::chrono::milliseconds(500);
constexpr Millis kGraceAfterStall{50};
constexpr std::size_t kInitialBuffer = std::size_t{2} * 1024;  // fits most responses
constexpr std::size_t kLargestKeptBuffer = std::size_t{64} * 1024;
// The protocol does not limit the size of watch responses; this limit keeps a faulty server from
// exhausting the memory.
constexpr std::uint64_t kResponseLimit = std::uint64_t{16} * 1024 * 1024;
}  // namespace

struct HttpClient::Connection {
    Connection(asio::io_context& io, std::shared_ptr<std::size_t> open_connections)
        : open_count(std::move(open_connections)), socket(io), deadline(io) {
        ++*open_count;
        buffer.reserve(kInitialBuffer);
    }
    ~Connection() { --*open_count; }
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;
    Connection(Connection&&) = delete;
    Connection& operator=(Connection&&) = delete;

    std::shared_ptr<std::size_t> open_count;
    tcp::socket socket;
    asio::steady_timer deadline;
    boost::beast::flat_buffer buffer;
    std::chrono::steady_clock::time_point idle_since{};
    bool sent = false;

    void close() {
        error_code ec;
        socket.close(ec);
    }
    // Returns false if the server has closed the idle connection or sent unexpected data. A request
    // written to a closed connection would get no response, and the caller would have to assume
    // that it may have been executed.
    bool is_usable() {
        char byte = 0;
        const auto n = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    }
};

HttpClient::ConnectionPtr HttpClient::take_idle(const std::string& address) {
    const auto it = by_address_.find(address);
    if (it == by_address_.end()) return nullptr;
    ConnectionPtr usable;
    while (!usable && !it->second.empty()) {
        const auto position = it->second.back();
        it->second.pop_back();
        auto connection = std::move(position->second);
        idle_.erase(position);
        if (connection->socket.is_open() && connection->is_usable()) usable = std::move(connection);
    }
    if (it->second.empty()) by_address_.erase(it);
    return usable;
}

HttpClient::ConnectionPtr HttpClient::new_connection() {
    if (*open_count_ >= max_connections_) close_oldest_idle();
    if (*open_count_ >= max_connections_) return nullptr;
    return std::make_shared<Connection>(io_, open_count_);
}

void HttpClient::add_idle(std::string address, ConnectionPtr connection) {
    auto& idle_at_address = by_address_[address];
    if (idle_at_address.size() >= kIdlePerAddress) return;
    connection->idle_since = std::chrono::steady_clock::now();
    // Releases the buffer of a large response; most of the following ones are small.
    if (connection->buffer.capacity() > kLargestKeptBuffer) connection->buffer = {};
    idle_at_address.push_back(
        idle_.emplace(idle_.end(), std::move(address), std::move(connection)));
}

void HttpClient::close_oldest_idle() {
    if (idle_.empty()) return;
    const auto it = by_address_.find(idle_.front().first);
    std::erase(it->second, idle_.begin());
    if (it->second.empty()) by_address_.erase(it);
    idle_.pop_front();
}

// Closes the connection when the timeout expires, which ends the call.
void HttpClient::set_deadline(const ConnectionPtr& connection, Millis timeout) {
    connection->deadline.expires_after(timeout);
    connection->deadline.async_wait([weak = std::weak_ptr(connection)](error_code ec) {
        const auto c = weak.lock();
        const auto late = c ? std::chrono::steady_clock::now() - c->deadline.expiry()
                            : std::chrono::steady_clock::duration(-1);
        // The timer may fire just as its call ends; it must not close the connection on the next
        // call, which has moved the deadline.
        if (ec || late < std::chrono::steady_clock::duration(0)) return;
        // After a stall the response may already be in the receive buffer of the socket.
        if (late >= kStallThreshold) {
            set_deadline(c, kGraceAfterStall);
        } else {
            c->close();
        }
    });
}

asio::awaitable<sansio::HttpResult> HttpClient::call(std::string address, std::string method,
                                                     std::string target, std::string body,
                                                     Millis timeout) {
    auto connection = take_idle(address);
    if (!connection) connection = new_connection();
    if (!connection) co_return sansio::HttpResult(sansio::CallOutcome::not_sent);
    connection->sent = false;
    set_deadline(connection, timeout);
    sansio::HttpResult result;
    try {
        result = co_await exchange(connection, address, std::move(method), std::move(target),
                                   std::move(body));
    } catch (const std::exception&) {
        connection->close();
        result = sansio::HttpResult(connection->sent ? sansio::CallOutcome::no_response
                                                     : sansio::CallOutcome::not_sent);
    }
    connection->deadline.expires_at(std::chrono::steady_clock::time_point::max());
    if (connection->socket.is_open()) add_idle(std::move(address), std::move(connection));
    co_return result;
}

asio::awaitable<sansio::HttpResult> HttpClient::exchange(ConnectionPtr connection,
                                                         std::string address, std::string method,
                                                         std::string target, std::string body) {
    auto& socket = connection->socket;
    if (!socket.is_open()) {
        co_await socket.async_connect(parse_endpoint(address), asio::use_awaitable);
        socket.set_option(tcp::no_delay(true));
    }
    http::request<http::string_body> request;
    request.version(11);
    request.method_string(method);
    request.target(target);
    request.set(http::field::host, address);
    if (!body.empty()) request.set(http::field::content_type, "application/msgpack");
    request.body() = std::move(body);
    request.prepare_payload();
    connection->sent = true;
    co_await http::async_write(socket, request, asio::use_awaitable);

    http::response_parser<http::string_body> parser;
    parser.body_limit(kResponseLimit);
    co_await http::async_read(socket, connection->buffer, parser, asio::use_awaitable);
    auto& response = parser.get();
    if (!response.keep_alive()) connection->close();
    co_return sansio::HttpResult{static_cast<int>(response.result_int()),
                                 std::move(response.body())};
}

void HttpClient::set_max_connections(std::size_t max_connections) {
    max_connections_ = max_connections;
    while (*open_count_ > max_connections_ && !idle_.empty()) close_oldest_idle();
}

void HttpClient::sweep() {
    const auto oldest = std::chrono::steady_clock::now() - idle_limit_;
    while (!idle_.empty() && idle_.front().second->idle_since < oldest) close_oldest_idle();
}

}  // namespace dunebridge::net
