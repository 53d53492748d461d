#include "net/http_server.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <optional>

#include "wire/codec.hpp"

namespace dunebridge::net {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

namespace {
constexpr auto kIdleLimit = std::chrono::seconds(120);
constexpr auto kSweepEvery = std::chrono::seconds(10);
constexpr std::size_t kHeaderLimit = 8 * 1024;
}  // namespace

struct HttpServer::Session {
    explicit Session(tcp::socket s) : socket(std::move(s)), answered(socket.get_executor()) {}
    tcp::socket socket;
    asio::steady_timer answered;
    std::optional<core::Answer> answer;
    std::chrono::steady_clock::time_point active = std::chrono::steady_clock::now();
};

tcp::endpoint parse_endpoint(const std::string& address) {
    const auto colon = address.rfind(':');
    const auto port = colon == std::string::npos ? 0 : std::atoi(address.c_str() + colon + 1);
    return {asio::ip::make_address(address.substr(0, colon)), static_cast<std::uint16_t>(port)};
}

HttpServer::HttpServer(asio::io_context& io, const std::string& address,
                       std::size_t max_connections, std::uint64_t id_base, Handler handler)
    : io_(io),
      acceptor_(io),
      max_connections_(max_connections),
      next_id_(id_base),
      handler_(std::move(handler)) {
    const auto endpoint = parse_endpoint(address);
    acceptor_.open(endpoint.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(endpoint);
    acceptor_.listen(512);
}

void HttpServer::start() {
    asio::co_spawn(io_, accept_loop(), asio::detached);
    asio::co_spawn(io_, sweep(), asio::detached);
}

asio::awaitable<void> HttpServer::accept_loop() {
    for (;;) {
        error_code ec;
        tcp::socket socket(io_);
        co_await acceptor_.async_accept(socket, asio::redirect_error(asio::use_awaitable, ec));
        if (ec) {
            // Out of sockets, most likely: leave the queue to the kernel for a moment.
            asio::steady_timer pause(io_, std::chrono::milliseconds(50));
            co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, ec));
            continue;
        }
        if (sessions_.size() >= max_connections_) continue;  // closes it
        socket.set_option(tcp::no_delay(true), ec);
        auto session = std::make_shared<Session>(std::move(socket));
        sessions_.emplace(session.get(), session);
        asio::co_spawn(io_, serve(session), asio::detached);
    }
}

asio::awaitable<void> HttpServer::sweep() {
    asio::steady_timer timer(io_);
    for (;;) {
        timer.expires_after(kSweepEvery);
        co_await timer.async_wait(asio::use_awaitable);
        const auto limit = std::chrono::steady_clock::now() - kIdleLimit;
        for (auto& [key, weak] : sessions_) {
            const auto session = weak.lock();
            error_code ec;
            if (session && session->active < limit) session->socket.close(ec);
        }
    }
}

asio::awaitable<void> HttpServer::serve(std::shared_ptr<Session> session) {
    boost::beast::flat_buffer buffer;
    bool keep = true;
    while (keep) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(wire::kMaxBody);
        parser.header_limit(kHeaderLimit);
        error_code ec;
        co_await http::async_read(session->socket, buffer, parser,
                                  asio::redirect_error(asio::use_awaitable, ec));
        const bool too_large = ec == http::error::body_limit || ec == http::error::header_limit;
        if (ec && !too_large) break;
        session->active = std::chrono::steady_clock::now();
        auto& request = parser.get();
        keep = !too_large && request.keep_alive();

        HttpRequest in;
        in.id = RequestId(++next_id_);
        in.method = std::string(request.method_string());
        in.target = std::string(request.target());
        in.body = std::move(request.body());
        in.too_large = too_large;
        session->answer.reset();
        waiting_.emplace(in.id, session);
        handler_(std::move(in));
        // The answer is set and the wait cancelled by answer(); it never comes in this very turn.
        while (!session->answer) {
            session->answered.expires_at(std::chrono::steady_clock::time_point::max());
            co_await session->answered.async_wait(asio::redirect_error(asio::use_awaitable, ec));
        }
        core::Answer answer = std::move(*session->answer);

        http::response<http::string_body> response;
        response.version(11);
        response.result(static_cast<unsigned>(answer.status));
        response.set(http::field::content_type, "application/msgpack");
        if (answer.retry_after_s > 0) {
            response.set(http::field::retry_after, std::to_string(answer.retry_after_s));
        }
        response.body() = std::move(answer.body);
        response.keep_alive(keep);
        response.prepare_payload();
        co_await http::async_write(session->socket, response,
                                   asio::redirect_error(asio::use_awaitable, ec));
        if (ec) break;
    }
    error_code ec;
    session->socket.shutdown(tcp::socket::shutdown_both, ec);
    sessions_.erase(session.get());
}

void HttpServer::answer(core::Answer&& answer) {
    const auto it = waiting_.find(answer.id);
    if (it == waiting_.end()) return;
    const auto session = std::move(it->second);
    waiting_.erase(it);
    session->answer = std::move(answer);
    session->answered.cancel();
}

}  // namespace dunebridge::net
