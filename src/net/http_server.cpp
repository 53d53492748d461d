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
// Time limit for the first request of a connection to arrive, and for the client to read a
// response.
constexpr auto kClientTimeout = std::chrono::seconds(10);
constexpr std::size_t kHeaderLimit = std::size_t{8} * 1024;
constexpr std::size_t kLargestKeptBuffer = std::size_t{16} * 1024;
constexpr int kAcceptBatch = 64;
constexpr std::size_t kInitialBuffer = std::size_t{2} * 1024;  // fits most requests
constexpr int kListenBacklog = 16384;  // every worker may reconnect within the same second
// Share of the connections of each group, in the order of Group.
constexpr std::array<double, 3> kShares{0.05, 0.75, 0.2};
// When more than this fraction of all connections is in use, groups that exceed their share do not
// keep connections alive.
constexpr double kHighUtilization = 0.9;
}  // namespace

struct HttpServer::Session {
    explicit Session(tcp::socket s) : socket(std::move(s)), response_ready(socket.get_executor()) {}
    tcp::socket socket;
    asio::steady_timer response_ready;
    std::optional<sansio::HttpResponse> response;
    std::chrono::steady_clock::time_point last_activity = std::chrono::steady_clock::now();
    Group group = Group::unclassified;
    bool busy = false;                 // is handling a request
    bool writing = false;              // is writing the response
    Sessions::iterator idle_position;  // in the idle list of the group; valid unless busy

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
            // Most likely no file descriptor is left. The kernel queues connections meanwhile.
            asio::steady_timer pause(io_, std::chrono::milliseconds(50));
            co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, ec));
            continue;
        }
        admit(std::move(socket));
        accept_queued();
        connections_accepted_();
    }
}

// Accepts queued connections in batches. When every worker reconnects, accepting one connection per
// turn of a busy event loop is too slow, and connections whose clients have given up would fill the
// queue.
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
    if (sessions_.size() >= limits_.connections && !evict_idle())
        return;  // the destructor closes the socket
    error_code ec;
    socket.set_option(tcp::no_delay(true), ec);
    auto session = std::make_shared<Session>(std::move(socket));
    sessions_.emplace(session.get(), session);
    add_to_group(*session, Group::unclassified);
    asio::co_spawn(io_, serve(session), asio::detached);
}

double HttpServer::share_usage(Group group) const {
    const auto g = static_cast<std::size_t>(group);
    return static_cast<double>(counts_[g]) /
           (kShares[g] * static_cast<double>(limits_.connections));
}

bool HttpServer::over_share(Group group) const {
    return static_cast<double>(sessions_.size()) >
               kHighUtilization * static_cast<double>(limits_.connections) &&
           share_usage(group) > 1;
}

// Closes the longest idle connection of the group, among those with idle connections, that uses the
// largest fraction of its share. Returns false if no connection is idle.
bool HttpServer::evict_idle() {
    Session* oldest = nullptr;
    double max_usage = 0;
    for (std::size_t g = 0; g < kGroups; ++g) {
        const auto usage = share_usage(static_cast<Group>(g));
        if (idle_[g].empty() || (oldest && usage <= max_usage)) continue;
        oldest = idle_[g].front();
        max_usage = usage;
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
    session.idle_position = idle.insert(idle.end(), &session);
}

void HttpServer::set_busy(Session& session, bool busy) {
    if (session.busy == busy) return;
    session.busy = busy;
    auto& idle = idle_[static_cast<std::size_t>(session.group)];
    if (busy) {
        idle.erase(session.idle_position);
    } else {
        session.idle_position = idle.insert(idle.end(), &session);
    }
}

// Removes the session from the lists. The coroutine that serves it ends by itself.
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

// Closes connections of clients that are too slow, and connections that have been idle for too
// long.
void HttpServer::close_expired() {
    const auto now = std::chrono::steady_clock::now();
    for (auto& [key, weak] : sessions_) {
        const auto session = weak.lock();
        if (!session || (session->busy && !session->writing)) continue;
        const bool awaits_client = session->writing || session->group == Group::unclassified;
        if (now - session->last_activity > (awaits_client ? kClientTimeout : limits_.idle))
            session->close();
    }
}

// Moves the session to the group that its latest request belongs to.
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
    session->response.reset();
    waiting_.emplace(in.id, session);
    handler_(std::move(in));
}

HttpServer::Response HttpServer::to_beast_response(sansio::HttpResponse&& from, bool keep_alive) {
    constexpr unsigned version = 11;  // HTTP/1.1
    Response response;
    response.version(version);
    response.result(static_cast<unsigned>(from.status));
    response.set(http::field::content_type, "application/msgpack");
    if (from.retry_after.count() > 0) {
        response.set(http::field::retry_after, std::to_string(from.retry_after.count()));
    }
    response.body() = std::move(from.body);
    response.keep_alive(keep_alive);
    response.prepare_payload();
    return response;
}

asio::awaitable<void> HttpServer::serve(std::shared_ptr<Session> session) {
    boost::beast::flat_buffer buffer;
    buffer.reserve(kInitialBuffer);
    bool keep_alive = true;
    while (keep_alive) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(wire::kMaxBodyBytes);
        parser.header_limit(kHeaderLimit);
        error_code ec;
        co_await http::async_read(session->socket, buffer, parser,
                                  asio::redirect_error(asio::use_awaitable, ec));
        const bool too_large = ec == http::error::body_limit || ec == http::error::header_limit;
        // The session may have been evicted before the request arrived.
        if ((ec && !too_large) || !sessions_.contains(session.get())) break;
        session->last_activity = std::chrono::steady_clock::now();
        auto& request = parser.get();
        change_group(session, std::string_view(request.target().data(), request.target().size()));
        set_busy(*session, true);
        keep_alive = !too_large && request.keep_alive();
        dispatch(session, std::move(request), too_large);
        // respond() sets the response and cancels the wait. It cannot run between the check and the
        // start of the wait.
        while (!session->response.has_value()) {
            session->response_ready.expires_at(std::chrono::steady_clock::time_point::max());
            co_await session->response_ready.async_wait(
                asio::redirect_error(asio::use_awaitable, ec));
        }
        keep_alive = keep_alive && !over_share(session->group);
        auto result = std::exchange(session->response, std::nullopt);
        if (!result) break;
        const auto response = to_beast_response(std::move(*result), keep_alive);
        session->last_activity = std::chrono::steady_clock::now();
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

void HttpServer::respond(sansio::HttpResponse&& response) {
    const auto it = waiting_.find(response.id);
    if (it == waiting_.end()) return;
    const auto session = std::move(it->second);
    waiting_.erase(it);
    session->response = std::move(response);
    session->response_ready.cancel();
}

}  // namespace dunebridge::net
