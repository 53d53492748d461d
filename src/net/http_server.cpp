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
// For a first request to come, and for an answer to be taken.
constexpr auto kPatience = std::chrono::seconds(10);
constexpr std::size_t kHeaderLimit = std::size_t{8} * 1024;
constexpr std::size_t kKeptBuffer = std::size_t{16} * 1024;
constexpr int kAcceptedAtOnce = 64;
constexpr std::size_t kFirstBuffer = std::size_t{2} * 1024;  // most requests are read at once
constexpr int kBacklog = 16384;  // every worker may return within the same second
// The groups' shares of the places: fresh, worker, user.
constexpr std::array<double, 3> kShares{0.05, 0.75, 0.2};
// Above this part of all places, groups over their share keep no connection open.
constexpr double kCrowded = 0.9;
}  // namespace

struct HttpServer::Session {
    explicit Session(tcp::socket s) : socket(std::move(s)), answered(socket.get_executor()) {}
    tcp::socket socket;
    asio::steady_timer answered;
    std::optional<sansio::HttpResponse> answer;
    std::chrono::steady_clock::time_point active = std::chrono::steady_clock::now();
    Group group = Group::fresh;
    bool busy = false;     // has a request to be answered
    bool writing = false;  // its answer is being written
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
    acceptor_.listen(kBacklog);
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
        welcome(std::move(socket));
        accept_waiting();
        grown_();
    }
}

// Those that wait besides, many at a time: when every worker returns, one in each turn of a busy
// loop would be too few, and those who gave up meanwhile would hold the places in the queue.
void HttpServer::accept_waiting() {
    error_code ec;
    for (int n = 0; n < kAcceptedAtOnce; ++n) {
        tcp::socket socket(io_);
        acceptor_.accept(socket, ec);
        if (ec) return;
        welcome(std::move(socket));
    }
}

void HttpServer::welcome(tcp::socket socket) {
    if (sessions_.size() >= limits_.connections && !make_place()) return;  // closes it
    error_code ec;
    socket.set_option(tcp::no_delay(true), ec);
    auto session = std::make_shared<Session>(std::move(socket));
    sessions_.emplace(session.get(), session);
    join(*session, Group::fresh);
    asio::co_spawn(io_, serve(session), asio::detached);
}

double HttpServer::fullness(Group group) const {
    const auto g = static_cast<std::size_t>(group);
    return static_cast<double>(counts_[g]) /
           (kShares[g] * static_cast<double>(limits_.connections));
}

bool HttpServer::crowded(Group group) const {
    return static_cast<double>(sessions_.size()) >
               kCrowded * static_cast<double>(limits_.connections) &&
           fullness(group) > 1;
}

// Closes the connection that waits for nothing, and has for longest, of the group furthest over
// its share. False if every connection has a request to be answered.
bool HttpServer::make_place() {
    Session* oldest = nullptr;
    double most = 0;
    for (std::size_t g = 0; g < kGroups; ++g) {
        const auto full = fullness(static_cast<Group>(g));
        if (idle_[g].empty() || (oldest && full <= most)) continue;
        oldest = idle_[g].front();
        most = full;
    }
    if (!oldest) return false;
    oldest->close();
    leave(*oldest);
    return true;
}

void HttpServer::join(Session& session, Group group) {
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

// Gives the place up; the coroutine that serves the session ends by itself.
void HttpServer::leave(Session& session) {
    if (sessions_.erase(&session) == 0) return;
    set_busy(session, true);
    --counts_[static_cast<std::size_t>(session.group)];
}

asio::awaitable<void> HttpServer::sweep() {
    asio::steady_timer timer(io_);
    for (;;) {
        timer.expires_after(kSweepEvery);
        co_await timer.async_wait(asio::use_awaitable);
        close_overdue();
    }
}

// Slow readers and writers are bounded in time, like connections that nobody uses.
void HttpServer::close_overdue() {
    const auto now = std::chrono::steady_clock::now();
    for (auto& [key, weak] : sessions_) {
        const auto session = weak.lock();
        if (!session || (session->busy && !session->writing)) continue;
        const bool impatient = session->writing || session->group == Group::fresh;
        if (now - session->active > (impatient ? kPatience : limits_.idle)) session->close();
    }
}

// Connections are counted by what they last asked for.
void HttpServer::regroup(const std::shared_ptr<Session>& session, std::string_view target) {
    const auto group = target == "/checkin" ? Group::worker : Group::user;
    if (group == session->group) return;
    leave(*session);
    sessions_.emplace(session.get(), session);
    join(*session, group);
}

void HttpServer::hand_over(const std::shared_ptr<Session>& session, Request&& request,
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
    buffer.reserve(kFirstBuffer);
    bool keep = true;
    while (keep) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(wire::kMaxBody);
        parser.header_limit(kHeaderLimit);
        error_code ec;
        co_await http::async_read(session->socket, buffer, parser,
                                  asio::redirect_error(asio::use_awaitable, ec));
        const bool too_large = ec == http::error::body_limit || ec == http::error::header_limit;
        // Its place may have been given away while the request was on its way.
        if ((ec && !too_large) || !sessions_.contains(session.get())) break;
        session->active = std::chrono::steady_clock::now();
        auto& request = parser.get();
        regroup(session, std::string_view(request.target().data(), request.target().size()));
        set_busy(*session, true);
        keep = !too_large && request.keep_alive();
        hand_over(session, std::move(request), too_large);
        // The answer is set and the wait cancelled by answer(); it never comes in this very turn.
        while (!session->answer.has_value()) {
            session->answered.expires_at(std::chrono::steady_clock::time_point::max());
            co_await session->answered.async_wait(asio::redirect_error(asio::use_awaitable, ec));
        }
        keep = keep && !crowded(session->group);
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
        if (buffer.capacity() > kKeptBuffer && buffer.size() == 0) buffer = {};
    }
    error_code ec;
    session->socket.shutdown(tcp::socket::shutdown_both, ec);
    leave(*session);
}

void HttpServer::answer(sansio::HttpResponse&& answer) {
    const auto it = waiting_.find(answer.id);
    if (it == waiting_.end()) return;
    const auto session = std::move(it->second);
    waiting_.erase(it);
    session->answer = std::move(answer);
    session->answered.cancel();
}

}  // namespace dunebridge::net
