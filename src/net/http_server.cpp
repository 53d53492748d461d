#include "net/http_server.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <optional>

#include "wire/codec.hpp"

namespace dunebridge::net {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

namespace {
constexpr auto kSweepEvery = std::chrono::seconds(2);
// For the first request of a connection to arrive, and for a response to be read by the client.
constexpr auto kClientTimeout = std::chrono::seconds(10);
constexpr std::size_t kHeaderLimit = std::size_t{8} * 1024;
constexpr std::size_t kLargestKeptBuffer = std::size_t{16} * 1024;
constexpr int kAcceptBatch = 64;
constexpr std::size_t kInitialBuffer = std::size_t{2} * 1024;  // most requests fit
constexpr int kListenBacklog = 16384;  // every worker may reconnect within the same second
// Shares of the connections: fresh, worker, user.
constexpr std::array<double, 3> kShares{0.05, 0.75, 0.2};
// Above this part of all connections, groups over their share keep no connection alive.
constexpr double kCrowdedShare = 0.9;
}  // namespace

struct HttpServer::Session {
    explicit Session(tcp::socket s) : socket(std::move(s)), response_ready(socket.get_executor()) {}
    tcp::socket socket;
    asio::steady_timer response_ready;
    std::optional<sansio::HttpResponse> answer;
    std::chrono::steady_clock::time_point active = std::chrono::steady_clock::now();
    Group group = Group::fresh;
    bool busy = false;     // has a request without a response
    bool writing = false;  // the response is being written
    Sessions::iterator place;

    void close() {
        error_code ec;
        socket.close(ec);
    }
};

tcp::endpoint parse_endpoint(const std::string& address) {
    const auto colon = address.rfind(':');
    const auto port = colon == std::string::npos ? 0 : std::atoi(address.c_str() + colon + 1);
    return {asio::ip::make_address(address.substr(0, colon)), static_cast<std::uint16_t>(port)};
}

HttpServer::HttpServer(asio::io_context& io, const std::string& address, Limits limits,
                       std::uint64_t id_base, Handler handler)
    : io_(io), acceptor_(io), limits_(limits), next_id_(id_base), handler_(std::move(handler)) {
    const auto endpoint = parse_endpoint(address);
    acceptor_.open(endpoint.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(endpoint);
    acceptor_.non_blocking(true);
    acceptor_.listen(kListenBacklog);
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
            // Most likely out of sockets: leave the queue to the kernel for a moment.
            asio::steady_timer pause(io_, std::chrono::milliseconds(50));
            co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, ec));
            continue;
        }
        admit(std::move(socket));
        accept_queued();
        connections_accepted_();
    }
}

// Accepts queued connections in batches. When every worker reconnects, one connection in each turn
// of a busy event loop is too slow, and clients that gave up meanwhile would fill the queue.
void HttpServer::accept_queued() {
    error_code ec;
    for (int n = 0; n < kAcceptBatch; ++n) {
        tcp::socket socket(io_);
        acceptor_.accept(socket, ec);
        if (ec) return;
        admit(std::move(socket));
    }
}

void HttpServer::admit(tcp::socket socket) {
    if (sessions_.size() >= limits_.connections && !evict_idle()) return;  // closes it
    error_code ec;
    socket.set_option(tcp::no_delay(true), ec);
    auto session = std::make_shared<Session>(std::move(socket));
    sessions_.emplace(session.get(), session);
    add_to_group(*session, Group::fresh);
    asio::co_spawn(io_, serve(session), asio::detached);
}

double HttpServer::share_in_use(Group group) const {
    const auto g = static_cast<std::size_t>(group);
    return static_cast<double>(counts_[g]) /
           (kShares[g] * static_cast<double>(limits_.connections));
}

bool HttpServer::over_share(Group group) const {
    return static_cast<double>(sessions_.size()) >
               kCrowdedShare * static_cast<double>(limits_.connections) &&
           share_in_use(group) > 1;
}

// Closes the longest idle connection of the group that is furthest over its share. Returns false if
// every connection has a request without a response.
bool HttpServer::evict_idle() {
    Session* oldest = nullptr;
    double most = 0;
    for (std::size_t g = 0; g < kGroups; ++g) {
        const auto full = share_in_use(static_cast<Group>(g));
        if (idle_[g].empty() || (oldest && full <= most)) continue;
        oldest = idle_[g].front();
        most = full;
    }
    if (!oldest) return false;
    oldest->close();
    remove(*oldest);
    return true;
}

void HttpServer::add_to_group(Session& session, Group group) {
    session.group = group;
    ++counts_[static_cast<std::size_t>(group)];
    auto& idle = idle_[static_cast<std::size_t>(group)];
    session.busy = false;
    session.place = idle.insert(idle.end(), &session);
}

void HttpServer::set_busy(Session& session, bool busy) {
    if (session.busy == busy) return;
    session.busy = busy;
    auto& idle = idle_[static_cast<std::size_t>(session.group)];
    if (busy) {
        idle.erase(session.place);
    } else {
        session.place = idle.insert(idle.end(), &session);
    }
}

// Forgets the session; the coroutine that serves it ends by itself.
void HttpServer::remove(Session& session) {
    if (sessions_.erase(&session) == 0) return;
    set_busy(session, true);
    --counts_[static_cast<std::size_t>(session.group)];
}

asio::awaitable<void> HttpServer::sweep() {
    asio::steady_timer timer(io_);
    for (;;) {
        timer.expires_after(kSweepEvery);
        co_await timer.async_wait(asio::use_awaitable);
        close_expired();
    }
}

// Slow clients are bounded in time, as are connections that nobody uses.
void HttpServer::close_expired() {
    const auto now = std::chrono::steady_clock::now();
    for (auto& [key, weak] : sessions_) {
        const auto session = weak.lock();
        if (!session || (session->busy && !session->writing)) continue;
        const bool impatient = session->writing || session->group == Group::fresh;
        if (now - session->active > (impatient ? kClientTimeout : limits_.idle)) session->close();
    }
}

// Connections are counted by their last request.
void HttpServer::change_group(const std::shared_ptr<Session>& session, std::string_view target) {
    const auto group = target == "/checkin" ? Group::worker : Group::user;
    if (group == session->group) return;
    remove(*session);
    sessions_.emplace(session.get(), session);
    add_to_group(*session, group);
}

void HttpServer::dispatch(const std::shared_ptr<Session>& session, Request&& request,
                          bool too_large) {
    HttpRequest in;
    in.id = RequestId(++next_id_);
    in.method = std::string(request.method_string());
    in.target = std::string(request.target());
    in.body = std::move(request.body());
    in.too_large = too_large;
    session->answer.reset();
    waiting_.emplace(in.id, session);
    handler_(std::move(in));
}

HttpServer::Response HttpServer::response_to(sansio::HttpResponse&& answer, bool keep) {
    constexpr unsigned version = 11;  // HTTP/1.1
    Response response;
    response.version(version);
    response.result(static_cast<unsigned>(answer.status));
    response.set(http::field::content_type, "application/msgpack");
    if (answer.retry_after.count() > 0) {
        response.set(http::field::retry_after, std::to_string(answer.retry_after.count()));
    }
    response.body() = std::move(answer.body);
    response.keep_alive(keep);
    response.prepare_payload();
    return response;
}

asio::awaitable<void> HttpServer::serve(std::shared_ptr<Session> session) {
    boost::beast::flat_buffer buffer;
    buffer.reserve(kInitialBuffer);
    bool keep = true;
    while (keep) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(wire::kMaxBodyBytes);
        parser.header_limit(kHeaderLimit);
        error_code ec;
        co_await http::async_read(session->socket, buffer, parser,
                                  asio::redirect_error(asio::use_awaitable, ec));
        const bool too_large = ec == http::error::body_limit || ec == http::error::header_limit;
        // The session may have been evicted while the request was on its way.
        if ((ec && !too_large) || !sessions_.contains(session.get())) break;
        session->active = std::chrono::steady_clock::now();
        auto& request = parser.get();
        change_group(session, std::string_view(request.target().data(), request.target().size()));
        set_busy(*session, true);
        keep = !too_large && request.keep_alive();
        dispatch(session, std::move(request), too_large);
        // answer() sets the response and cancels the wait, never in this very turn of the loop.
        while (!session->answer.has_value()) {
            session->response_ready.expires_at(std::chrono::steady_clock::time_point::max());
            co_await session->response_ready.async_wait(
                asio::redirect_error(asio::use_awaitable, ec));
        }
        keep = keep && !over_share(session->group);
        auto answer = std::exchange(session->answer, std::nullopt);
        if (!answer) break;
        const auto response = response_to(std::move(*answer), keep);
        session->active = std::chrono::steady_clock::now();
        session->writing = true;
        co_await http::async_write(session->socket, response,
                                   asio::redirect_error(asio::use_awaitable, ec));
        session->writing = false;
        if (ec) break;
        set_busy(*session, false);
        if (buffer.capacity() > kLargestKeptBuffer && buffer.size() == 0) buffer = {};
    }
    error_code ec;
    session->socket.shutdown(tcp::socket::shutdown_both, ec);
    remove(*session);
}

void HttpServer::answer(sansio::HttpResponse&& answer) {
    const auto it = waiting_.find(answer.id);
    if (it == waiting_.end()) return;
    const auto session = std::move(it->second);
    waiting_.erase(it);
    session->answer = std::move(answer);
    session->response_ready.cancel();
}

}  // namespace dunebridge::net
