// Stand-ins for the platform of a small deployment, written from the protocol page: state service,
// cloud, workers and users, and the start of the controllers as separate processes. All of them run
// in one event loop on loopback addresses and the real clock.
#pragma once
#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <msgpack.hpp>

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using boost::system::error_code;
template <class T>
using task = asio::awaitable<T>;

// ---- dynamic values, MessagePack ----

struct J {
    enum Type { null, boolean, count, number, text, list, map } type = null;
    bool b = false;
    std::uint64_t u = 0;
    double d = 0;
    std::string s;
    std::vector<J> a;
    std::vector<std::pair<std::string, J>> m;

    J() = default;
    J(bool v) : type(boolean), b(v) {}
    J(int v) : type(count), u(static_cast<std::uint64_t>(v)) {}
    J(std::uint64_t v) : type(count), u(v) {}
    J(double v) : type(number), d(v) {}
    J(const char* v) : type(text), s(v) {}
    J(std::string v) : type(text), s(std::move(v)) {}
    static J array(std::vector<J> v = {}) {
        J j;
        j.type = list;
        j.a = std::move(v);
        return j;
    }
    static J object(std::vector<std::pair<std::string, J>> v = {}) {
        J j;
        j.type = map;
        j.m = std::move(v);
        return j;
    }
    const J& operator[](const std::string& k) const {
        static const J none;
        for (const auto& [key, v] : m)
            if (key == k) return v;
        return none;
    }
    J& set(const std::string& k, J v) {
        m.emplace_back(k, std::move(v));
        return *this;
    }
    bool has(const std::string& k) const { return (*this)[k].type != null; }
    std::uint64_t n() const { return type == number ? static_cast<std::uint64_t>(d) : u; }
    double f() const { return type == count ? static_cast<double>(u) : d; }

    template <class P>
    void pack(P& p) const {
        switch (type) {
            case null: p.pack_nil(); break;
            case boolean: b ? p.pack_true() : p.pack_false(); break;
            case count: p.pack_uint64(u); break;
            case number: p.pack_double(d); break;
            case text:
                p.pack_str(static_cast<std::uint32_t>(s.size()));
                p.pack_str_body(s.data(), static_cast<std::uint32_t>(s.size()));
                break;
            case list:
                p.pack_array(static_cast<std::uint32_t>(a.size()));
                for (const auto& v : a) v.pack(p);
                break;
            case map:
                p.pack_map(static_cast<std::uint32_t>(m.size()));
                for (const auto& [k, v] : m) {
                    J(k).pack(p);
                    v.pack(p);
                }
        }
    }
    std::string packed() const {
        msgpack::sbuffer buf;
        msgpack::packer<msgpack::sbuffer> p(buf);
        pack(p);
        return {buf.data(), buf.size()};
    }
    std::size_t json_size() const {
        switch (type) {
            case null: return 4;
            case boolean: return b ? 4 : 5;
            case count: return std::to_string(u).size();
            case number: return 6;
            case text: return s.size() + 2;
            case list: {
                std::size_t n = 2;
                for (const auto& v : a) n += v.json_size() + 1;
                return n;
            }
            case map: {
                std::size_t n = 2;
                for (const auto& [k, v] : m) n += k.size() + 4 + v.json_size();
                return n;
            }
        }
        return 0;
    }
    static J from(const msgpack::object& o) {
        J j;
        switch (o.type) {
            case msgpack::type::BOOLEAN: return J(o.via.boolean);
            case msgpack::type::POSITIVE_INTEGER: return J(static_cast<std::uint64_t>(o.via.u64));
            case msgpack::type::NEGATIVE_INTEGER: return J(static_cast<double>(o.via.i64));
            case msgpack::type::FLOAT32:
            case msgpack::type::FLOAT64: return J(o.via.f64);
            case msgpack::type::STR: return J(std::string(o.via.str.ptr, o.via.str.size));
            case msgpack::type::ARRAY:
                j.type = list;
                for (std::uint32_t i = 0; i < o.via.array.size; ++i)
                    j.a.push_back(from(o.via.array.ptr[i]));
                return j;
            case msgpack::type::MAP:
                j.type = map;
                for (std::uint32_t i = 0; i < o.via.map.size; ++i)
                    j.m.emplace_back(from(o.via.map.ptr[i].key).s, from(o.via.map.ptr[i].val));
                return j;
            default: return j;
        }
    }
    static J parse(const std::string& bytes) {
        try {
            const auto h = msgpack::unpack(bytes.data(), bytes.size());
            return from(h.get());
        } catch (const std::exception&) {
            return J();
        }
    }
};

// ---- HTTP ----

struct Req {
    std::string method, target, body;
};
struct Res {
    int status = 0;  // 0: no answer
    std::string body;
    J json() const { return J::parse(body); }
};
// No value: the connection stays open and the request is never answered.
using Handler = std::function<task<std::optional<Res>>(Req)>;

inline asio::io_context& io() {
    static asio::io_context ctx;
    return ctx;
}
inline const std::chrono::steady_clock::time_point kStart = std::chrono::steady_clock::now();
inline double now() {
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - kStart).count();
}
inline task<void> sleep_s(double s) {
    asio::steady_timer t(co_await asio::this_coro::executor);
    t.expires_after(std::chrono::microseconds(static_cast<std::int64_t>(std::max(0.0, s) * 1e6)));
    error_code ec;
    co_await t.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}
template <class F>
void spawn(F f) {
    asio::co_spawn(io(), std::move(f), [](std::exception_ptr e) {
        if (!e) return;
        try {
            std::rethrow_exception(e);
        } catch (const std::exception& x) {
            std::fprintf(stderr, "stand-in failed: %s\n", x.what());
            std::_Exit(2);
        }
    });
}

inline task<void> serve_connection(tcp::socket socket, Handler handler) {
    beast::flat_buffer buffer;
    error_code ec;
    socket.set_option(tcp::no_delay(true), ec);
    for (;;) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(std::uint64_t{1} << 20);
        co_await http::async_read(socket, buffer, parser,
                                  asio::redirect_error(asio::use_awaitable, ec));
        if (ec) co_return;
        auto& request = parser.get();
        Req in{std::string(request.method_string()), std::string(request.target()),
               std::move(request.body())};
        const bool keep = request.keep_alive();
        auto out = co_await handler(std::move(in));
        if (!out) {
            char c[64];
            while (!ec)
                co_await socket.async_read_some(asio::buffer(c),
                                                asio::redirect_error(asio::use_awaitable, ec));
            co_return;
        }
        http::response<http::string_body> response;
        response.version(11);
        response.result(static_cast<unsigned>(out->status));
        response.body() = std::move(out->body);
        response.keep_alive(keep);
        response.prepare_payload();
        co_await http::async_write(socket, response,
                                   asio::redirect_error(asio::use_awaitable, ec));
        if (ec || !keep) co_return;
    }
}

inline task<void> accept_loop(std::shared_ptr<tcp::acceptor> acceptor, Handler handler) {
    for (;;) {
        error_code ec;
        tcp::socket socket(io());
        co_await acceptor->async_accept(socket, asio::redirect_error(asio::use_awaitable, ec));
        if (!acceptor->is_open()) co_return;
        if (ec) {
            co_await sleep_s(0.02);
            continue;
        }
        asio::co_spawn(io(), serve_connection(std::move(socket), handler), asio::detached);
    }
}

// A free port for a controller. The socket stays open without listening, so that nobody else is given
// the port; the controller, which also binds with SO_REUSEADDR, can listen on it.
inline std::shared_ptr<tcp::acceptor> hold_free_port() {
    auto a = std::make_shared<tcp::acceptor>(io());
    a->open(tcp::v4());
    a->bind({asio::ip::address_v4::loopback(), 0});
    a->set_option(tcp::acceptor::reuse_address(true));
    return a;
}

struct Server {
    std::shared_ptr<tcp::acceptor> acceptor;
    int port = 0;
    void close() {
        error_code ec;
        if (acceptor) acceptor->close(ec);
    }
};
inline std::shared_ptr<tcp::acceptor> listen_on_free_port() {
    auto a = std::make_shared<tcp::acceptor>(io());
    a->open(tcp::v4());
    a->bind({asio::ip::address_v4::loopback(), 0});
    a->listen(1024);
    return a;
}
inline Server serve(Handler handler) {
    Server s{listen_on_free_port(), 0};
    s.port = s.acceptor->local_endpoint().port();
    asio::co_spawn(io(), accept_loop(s.acceptor, std::move(handler)), asio::detached);
    return s;
}

// One request on a connection of its own.
inline task<Res> http_call(int port, std::string method, std::string target, std::string body,
                           double timeout) {
    beast::tcp_stream stream(io());
    stream.expires_after(std::chrono::milliseconds(static_cast<std::int64_t>(timeout * 1000)));
    error_code ec;
    const tcp::endpoint to(asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(port));
    co_await stream.async_connect(to, asio::redirect_error(asio::use_awaitable, ec));
    if (ec) co_return Res{};
    http::request<http::string_body> request;
    request.version(11);
    request.method_string(method);
    request.target(target);
    request.set(http::field::host, "127.0.0.1");
    request.set(http::field::connection, "close");
    request.body() = std::move(body);
    request.prepare_payload();
    co_await http::async_write(stream, request, asio::redirect_error(asio::use_awaitable, ec));
    if (ec) co_return Res{};
    beast::flat_buffer buffer;
    http::response<http::string_body> response;
    co_await http::async_read(stream, buffer, response,
                              asio::redirect_error(asio::use_awaitable, ec));
    if (ec) co_return Res{};
    co_return Res{static_cast<int>(response.result_int()), std::move(response.body())};
}

inline std::string query(const std::string& target, const std::string& name) {
    const auto q = target.find('?');
    if (q == std::string::npos) return {};
    std::size_t at = q + 1;
    while (at < target.size()) {
        const auto end = std::min(target.find('&', at), target.size());
        const auto part = target.substr(at, end - at);
        if (part.rfind(name + "=", 0) == 0) return part.substr(name.size() + 1);
        at = end + 1;
    }
    return {};
}
inline std::uint64_t to_u(const std::string& s) {
    return s.empty() ? 0 : std::strtoull(s.c_str(), nullptr, 10);
}

struct Bucket {
    double rate, tokens, last = 0;
    explicit Bucket(double r) : rate(r), tokens(r) {}
    bool take(double n) {
        const double t = now();
        tokens = std::min(rate, tokens + (t - last) * rate);
        last = t;
        if (tokens < n) return false;
        tokens -= n;
        return true;
    }
};

// ---- record ----

inline std::FILE* record_file = nullptr;
__attribute__((format(printf, 1, 2))) inline void record(const char* format, ...) {
    if (!record_file) return;
    std::fprintf(record_file, "%8.3f ", now());
    va_list args;
    va_start(args, format);
    std::vfprintf(record_file, format, args);
    va_end(args);
    std::fputc('\n', record_file);
    std::fflush(record_file);
}

// ---- settings of the deployment ----

struct Team {
    std::string name;
    double cpus = 0, cpus_max = 0;
};
struct MachineType {
    std::string name;
    double cores, ram, startup_s, rate, low_price, cache_gb, fetch;
    std::vector<std::string> zones;
};
struct Settings {
    std::vector<std::string> zones{"ahmedabad-west", "vadodara-hub", "surat-annex"};
    std::vector<Team> teams{
        {"legal-desk", 96, 160}, {"media-desk", 160, 352}, {"publishing-desk", 96, 240}};
    std::vector<MachineType> types{
        {"sabarmati-node", 16, 128, 40, 1.19, 0.44, 100, 1.0, {}}};
    double report_s = 3, lease_s = 17, cancel_s = 47;
    double kv_rps = 200, kv_write_rps = 80, value_kb = 16;
    std::size_t txn_ops = 48;
    double cloud_rps = 8, list_lag_s = 5;
    double cpu = 0.064, memory_mb = 104;
    int fd_limit = 1800;
    double boot_min_s = 1.0, boot_max_s = 2.0;  // "at times machines are up within a second or two"
    std::size_t capacity = 28;
};

struct JobDef {
    std::string id, cls = "court-urgent", team = "legal-desk", urgency = "urgent";
    int shards = 1;
    double cores = 1, ram = 3.9, run_s = 12;
    std::string image = "img-1";
    double image_gb = 0.7;
    bool reclaimable = true, together = false, apart = false;
    std::string region;
    std::vector<std::string> shapes, waits_on;
    std::optional<double> due_s;
    J body() const {
        J j = J::object({{"name_id", id}, {"jobclass", cls}, {"owner", team}, {"jobkind", "array"},
                         {"urgency", urgency}, {"shards", shards}, {"cores", cores},
                         {"accelerators", 0.0}, {"ram_gb", ram}, {"bundle", image},
                         {"size_gb", image_gb}, {"together", together}, {"apart", apart},
                         {"reclaimable", reclaimable}, {"expected_s", run_s},
                         {"snapshot_every_s", 0.0}, {"snapshot_s", 0.0}});
        if (!region.empty()) j.set("region", region);
        if (!shapes.empty()) {
            J l = J::array();
            for (const auto& s : shapes) l.a.push_back(s);
            j.set("shapes", l);
        }
        if (due_s) j.set("due_s", *due_s);
        if (!waits_on.empty()) {
            J l = J::array();
            for (const auto& s : waits_on) l.a.push_back(s);
            j.set("waits_on", l);
        }
        return j;
    }
};

// ---- state service ----

struct StateService {
    struct Entry {
        J value;
        std::uint64_t rev = 0, lease = 0;
    };
    struct Change {
        std::uint64_t rev;
        std::string key;
        bool removed;
        J value;
    };
    struct Lease {
        double ttl, until;
    };
    struct Node {
        bool refused = false;  // it alone gets 503; its open watches wait
        bool cut = false;      // nothing arrives and nothing is answered
    };
    explicit StateService(const Settings& s)
        : settings(s), requests(s.kv_rps), changes_budget(s.kv_write_rps) {}
    const Settings& settings;
    Bucket requests, changes_budget;
    std::map<std::string, Entry> keys;
    std::deque<Change> changes;
    std::uint64_t rev = 0, next_lease = 0, dropped_rev = 0;
    std::map<std::uint64_t, Lease> leases;
    bool outage = false;
    std::vector<Node> nodes;
    std::mt19937 rng{12345};
    // Seconds before a request is carried out, and before its answer is sent.
    std::function<double(int, const Req&)> delay_before = [this](int, const Req&) {
        return 0.001 + 0.004 * std::uniform_real_distribution<>(0, 1)(rng);
    };
    std::function<double(int, const Req&)> delay_after = [](int, const Req&) { return 0.0; };
    // The request is carried out and never answered.
    std::function<bool(int, const Req&)> lose_answer = [](int, const Req&) { return false; };
    // The request gets no answer and is carried out after so many seconds; 0: as usual.
    std::function<double(int, const Req&)> late_write = [](int, const Req&) { return 0.0; };
    std::uint64_t refused_429 = 0;

    Server listen(int node) {
        if (nodes.size() <= static_cast<std::size_t>(node)) nodes.resize(node + 1);
        return serve([this, node](Req r) -> task<std::optional<Res>> {
            const bool watch = r.target.rfind("/watch", 0) == 0;
            if (nodes[node].cut) co_return std::nullopt;
            if (!watch) co_await sleep_s(delay_before(node, r));
            if (nodes[node].cut) co_return std::nullopt;
            if (!watch && (outage || nodes[node].refused))
                co_return trouble();
            const double late = late_write(node, r);
            if (late > 0) {
                spawn([this, r, late]() -> task<void> {
                    co_await sleep_s(late);
                    if (!outage) handle(r);
                });
                co_return std::nullopt;
            }
            const bool lost = lose_answer(node, r);
            std::optional<Res> res;
            if (watch) {
                res = co_await this->watch(node, r);
            } else {
                res = handle(r);
            }
            if (lost) co_return std::nullopt;
            co_await sleep_s(delay_after(node, r));
            while (watch && nodes[node].refused) co_await sleep_s(0.02);
            if (nodes[node].cut) co_return std::nullopt;
            co_return res;
        });
    }
    void set_outage(bool on) {
        outage = on;
        if (on) return;
        for (auto& [id, l] : leases) l.until = now() + l.ttl;
    }
    void expire() {
        if (outage) return;
        for (auto it = leases.begin(); it != leases.end();) {
            if (it->second.until > now()) {
                ++it;
                continue;
            }
            std::vector<std::string> gone;
            for (auto& [k, e] : keys)
                if (e.lease == it->first) gone.push_back(k);
            for (auto& k : gone) {
                ++rev;
                erase(k);
            }
            it = leases.erase(it);
        }
    }
    void erase(const std::string& k) {
        if (keys.erase(k) == 0) return;
        note({rev, k, true, {}});
    }
    void note(Change c) {
        changes.push_back(std::move(c));
        while (changes.size() > 10000) {
            dropped_rev = changes.front().rev;
            changes.pop_front();
        }
    }
    static Res ok(J j) { return {200, j.packed()}; }
    static Res trouble() { return {503, J::object({{"error", "trouble"}}).packed()}; }
    static Res empty(int status) { return {status, J::object().packed()}; }
    Res too_many() {
        ++refused_429;
        return {429, J::object({{"error", "too many"}}).packed()};
    }
    Res handle(const Req& r) {
        expire();
        if (!requests.take(1)) return too_many();
        const auto path = r.target.substr(0, r.target.find('?'));
        if (r.method == "GET" && path == "/kv") return list(r);
        if (r.method == "GET" && path.rfind("/kv/", 0) == 0) {
            const auto it = keys.find(path.substr(4));
            if (it == keys.end()) return {404, J::object({{"store_rev", rev}}).packed()};
            J j = J::object(
                {{"key", it->first}, {"value", it->second.value}, {"key_rev", it->second.rev}});
            if (it->second.lease) j.set("tenancy", it->second.lease);
            return ok(j);
        }
        if (path == "/multi") return transact(r);
        if (path == "/leases") {
            const auto ttl = J::parse(r.body)["ttl_ms"].n();
            if (ttl < 100 || ttl > 600000) return {400, J::object().packed()};
            const double s = static_cast<double>(ttl) / 1000;
            leases[++next_lease] = {s, now() + s};
            return ok(J::object({{"tenancy", next_lease}}));
        }
        if (path.rfind("/leases/", 0) == 0) {
            const auto it = leases.find(to_u(path.substr(8)));
            if (it == leases.end()) return {404, J::object().packed()};
            if (r.method == "DELETE") {
                it->second.until = 0;
                expire();
            } else {
                it->second.until = now() + it->second.ttl;
            }
            return ok(J::object());
        }
        return {400, J::object().packed()};
    }
    Res list(const Req& r) {
        const auto prefix = query(r.target, "starts"), from = query(r.target, "from");
        const auto page_text = query(r.target, "page");
        const std::size_t page =
            page_text.empty() ? 1000 : std::min<std::size_t>(1000, to_u(page_text));
        J rows = J::array();
        bool more = false;
        std::size_t bytes = 0;
        for (auto it = keys.lower_bound(std::max(prefix, from)); it != keys.end(); ++it) {
            if (it->first.rfind(prefix, 0) != 0) {
                if (it->first > prefix) break;
                continue;
            }
            if (it->first <= from) continue;
            const auto size = it->second.value.json_size() + it->first.size() + 40;
            if (rows.a.size() >= page || bytes + size > 512 * 1024) {
                more = true;
                break;
            }
            bytes += size;
            rows.a.push_back(J::object(
                {{"key", it->first}, {"value", it->second.value}, {"key_rev", it->second.rev}}));
        }
        return ok(J::object({{"rows", rows}, {"has_next", more}, {"store_rev", rev}}));
    }
    Res transact(const Req& r) {
        const J body = J::parse(r.body);
        const auto& guards = body["guards"].a;
        const auto& writes = body["writes"].a;
        if (writes.size() > settings.txn_ops || guards.size() > 4 * settings.txn_ops ||
            body.json_size() > 64 * 1024)
            return {400, J::object({{"error", "too large"}}).packed()};
        for (const auto& w : writes)
            if (w["value"].json_size() > settings.value_kb * 1024)
                return {400, J::object({{"error", "too large"}}).packed()};
        if (!changes_budget.take(static_cast<double>(writes.size()))) return too_many();
        for (const auto& w : writes)
            if (w.has("tenancy") && !leases.count(w["tenancy"].n()))
                return {400, J::object({{"error", "no such lease"}}).packed()};
        J failed = J::array();
        for (const auto& g : guards) {
            const auto it = keys.find(g["key"].s);
            if ((it == keys.end() ? 0 : it->second.rev) != g["key_rev"].n())
                failed.a.push_back(g["key"]);
        }
        if (!failed.a.empty())
            return {409, J::object({{"failed", failed}, {"store_rev", rev}}).packed()};
        if (!writes.empty()) ++rev;
        for (const auto& w : writes) {
            if (w.has("remove")) {
                erase(w["remove"].s);
            } else {
                keys[w["set"].s] = {w["value"], rev, w["tenancy"].n()};
                note({rev, w["set"].s, false, w["value"]});
            }
        }
        return ok(J::object({{"store_rev", rev}}));
    }
    std::optional<Res> changes_since(std::uint64_t from, const std::string& prefix, bool always) {
        J news = J::array();
        const auto first = std::partition_point(changes.begin(), changes.end(),
                                                [&](const Change& c) { return c.rev <= from; });
        for (auto it = first; it != changes.end(); ++it) {
            const auto& c = *it;
            if (c.key.rfind(prefix, 0) != 0) continue;
            news.a.push_back(
                c.removed
                    ? J::object({{"remove", c.key}, {"key_rev", c.rev}})
                    : J::object({{"set", c.key}, {"value", c.value}, {"key_rev", c.rev}}));
        }
        if (news.a.empty() && !always) return std::nullopt;
        return ok(J::object({{"store_rev", rev}, {"news", news}}));
    }
    task<std::optional<Res>> watch(int node, const Req& r) {
        if (outage || nodes[node].refused) co_return trouble();
        if (!requests.take(1)) co_return too_many();
        const auto prefix = query(r.target, "starts");
        const auto from = to_u(query(r.target, "from"));
        const double until = now() + static_cast<double>(to_u(query(r.target, "wait_ms"))) / 1000;
        if (from < dropped_rev) co_return empty(410);
        for (;;) {
            if (!outage && !nodes[node].refused && !nodes[node].cut) {
                expire();
                auto news = changes_since(from, prefix, now() >= until);
                if (news) co_return news;
            }
            co_await sleep_s(0.003);
        }
    }
    std::optional<J> value(const std::string& key) const {
        const auto it = keys.find(key);
        if (it == keys.end()) return std::nullopt;
        return it->second.value;
    }
};

// ---- the deployment ----

struct World;

struct Worker {
    struct Task {
        std::uint64_t attempt = 0;
        std::string phase, why;
        double until = 0;  // when the phase ends
    };
    World& w;
    std::string host, zone;
    const MachineType& type;
    bool spot;
    Server server;
    bool up = false, gone = false;
    double hung_until = 0;
    bool deaf = false;  // answers and direct commands are lost
    bool mute = false;  // its reports are lost
    std::uint64_t tenure = 1, tick = 0, epoch = 0;
    double lease_from = 0, last_report = -100, next_report = 0, last_token_report = -100;
    bool changed = true;
    std::size_t node = 0;
    std::set<std::string> images;
    std::map<std::pair<std::string, std::uint64_t>, Task> tasks;  // by task and attempt
    std::set<std::string> reachable_nodes;  // empty: all

    Worker(World& world, std::string name, const MachineType& t, std::string z, bool s)
        : w(world), host(std::move(name)), zone(std::move(z)), type(t), spot(s) {}
    bool hanging() const { return now() < hung_until; }
    bool lease_over() const;
    bool holds(const std::string& id) const;  // the task is on the machine, with its image
    double used_cores() const;
    double used_ram() const;
    J report_body();
    void execute(const J& orders);
    void see_token(std::uint64_t t);
    void advance();
    task<void> run();
    task<void> report_loop();
    Handler handler();
};

struct User {
    JobDef job;
    bool accepted = false, cancel_asked = false;
    double first_try = 0, accepted_at = 0;
    std::string end;  // "done" or "withdrawn", as told
    double end_told = 1e18, cancel_told = 1e18;
    std::set<int> completed;
    double completed_at = 1e18, first_start = 1e18;
    double last_answer = 0;
    double waiting_since = -1, longest_wait = 0;
    bool failing = false;  // every task of it fails, on every machine
    int starts = 0;
    int refused_status = 0;
};

struct Controller {
    std::string name;
    std::size_t index = 0;
    int front = 0, back = 0, state_port = 0;
    pid_t pid = -1;
    std::string dir, settings;
    int starts = 0;
    bool expected_down = false;
    bool alive() {
        if (pid <= 0) return false;
        int st = 0;
        if (waitpid(pid, &st, WNOHANG) == pid) {
            record("controller %s ended status=%d", name.c_str(), st);
            pid = -1;
            return false;
        }
        return true;
    }
};

// A link between two controllers.
struct Link {
    Server server;
    int to = 0;
    bool hold = false;    // packets are held and delivered once it is over
    bool refuse = false;  // connections are refused
};

struct World {
    Settings settings;
    StateService state;
    std::mt19937 rng;
    std::string program, dir, log_level = "info";
    std::vector<std::unique_ptr<Controller>> controllers;
    std::vector<std::shared_ptr<tcp::acceptor>> held_ports;
    std::map<std::pair<std::size_t, std::size_t>, std::shared_ptr<Link>> links;
    // Cloud.
    struct Rental {
        std::string host, zone, shape;
        bool spot;
        double rented;
        double gone = 1e18, failed = 1e18, up = 1e18;
    };
    Server cloud_server;
    bool cloud_outage = false;
    std::map<std::string, J> claims;
    std::map<std::string, Rental> rentals;
    std::size_t next_host = 0;
    Bucket cloud_budget;
    std::map<std::string, std::unique_ptr<Worker>> workers;
    std::map<std::string, User> users;
    std::vector<std::string> violations;
    std::set<std::string> broken;
    std::uint64_t starts = 0, deletions_with_tasks = 0;
    std::vector<bool> workers_cut;  // by controller: no worker reaches it
    bool stopping = false;
    std::function<double(const std::string&)> boot_time;
    std::function<bool(const std::string& host, const J& orders)> hold_command =
        [](const std::string&, const J&) { return false; };
    double hold_for = 0;

    World(Settings s, unsigned seed, std::string prog, std::string d)
        : settings(std::move(s)),
          state(settings),
          rng(seed),
          program(std::move(prog)),
          dir(std::move(d)),
          cloud_budget(settings.cloud_rps * 2) {
        for (auto& t : settings.types)
            if (t.zones.empty()) t.zones = settings.zones;
        cloud_budget.rate = settings.cloud_rps;
        boot_time = [this](const std::string&) {
            return uniform(settings.boot_min_s, settings.boot_max_s);
        };
    }
    double uniform(double a, double b) { return std::uniform_real_distribution<>(a, b)(rng); }
    std::size_t any(std::size_t n) { return n ? rng() % n : 0; }

    void broke(const std::string& rule, const std::string& what) {
        if (broken.insert(rule + " " + what).second) {
            violations.push_back(rule + ": " + what);
            record("BROKEN %s: %s", rule.c_str(), what.c_str());
        }
    }

    // ---- controllers ----

    void add_controllers(std::size_t n) {
        for (std::size_t i = 0; i < n; ++i) {
            auto c = std::make_unique<Controller>();
            c->name = "dunehost-" + std::to_string(i);
            c->index = i;
            auto a = hold_free_port(), b = hold_free_port();
            c->front = a->local_endpoint().port();
            c->back = b->local_endpoint().port();
            held_ports.push_back(a);
            held_ports.push_back(b);
            c->state_port = state.listen(static_cast<int>(i)).port;
            c->dir = dir;
            controllers.push_back(std::move(c));
        }
        workers_cut.assign(n, false);
        for (std::size_t i = 0; i < n; ++i)
            for (std::size_t j = 0; j < n; ++j)
                if (i != j) add_link(i, j);
        for (auto& c : controllers) write_settings(*c);
    }
    void add_link(std::size_t from, std::size_t to) {
        auto link = std::make_shared<Link>();
        link->to = controllers[to]->back;
        link->server.acceptor = listen_on_free_port();
        link->server.port = link->server.acceptor->local_endpoint().port();
        links[{from, to}] = link;
        spawn([link]() -> task<void> {
            for (;;) {
                error_code ec;
                auto in = std::make_shared<tcp::socket>(io());
                co_await link->server.acceptor->async_accept(
                    *in, asio::redirect_error(asio::use_awaitable, ec));
                if (ec) {
                    co_await sleep_s(0.02);
                    continue;
                }
                if (link->refuse) continue;
                spawn([link, in]() -> task<void> { co_await proxy(link, in); });
            }
        });
    }
    static task<void> pump(std::shared_ptr<Link> link, std::shared_ptr<tcp::socket> from,
                           std::shared_ptr<tcp::socket> to) {
        std::vector<char> data(16384);
        error_code ec;
        for (;;) {
            const auto n = co_await from->async_read_some(
                asio::buffer(data), asio::redirect_error(asio::use_awaitable, ec));
            if (ec) break;
            while (link->hold) co_await sleep_s(0.01);
            co_await asio::async_write(*to, asio::buffer(data, n),
                                       asio::redirect_error(asio::use_awaitable, ec));
            if (ec) break;
        }
        while (link->hold) co_await sleep_s(0.01);
        to->shutdown(tcp::socket::shutdown_send, ec);
        from->shutdown(tcp::socket::shutdown_receive, ec);
    }
    static task<void> proxy(std::shared_ptr<Link> link, std::shared_ptr<tcp::socket> in) {
        while (link->hold) co_await sleep_s(0.01);
        auto out = std::make_shared<tcp::socket>(io());
        error_code ec;
        co_await out->async_connect(
            {asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(link->to)},
            asio::redirect_error(asio::use_awaitable, ec));
        if (ec) co_return;
        out->set_option(tcp::no_delay(true), ec);
        in->set_option(tcp::no_delay(true), ec);
        spawn([link, in, out]() -> task<void> { co_await pump(link, in, out); });
        co_await pump(link, out, in);
    }
    void cut_peers(std::size_t i, bool on) {
        for (auto& [k, l] : links)
            if (k.first == i || k.second == i) l->hold = on;
    }
    void write_settings(Controller& c) {
        c.settings = dir + "/" + c.name + ".toml";
        std::FILE* f = std::fopen(c.settings.c_str(), "w");
        const auto& s = settings;
        std::fprintf(f, "label = \"%s\"\ndomain = \"%s\"\npublic_addr = \"127.0.0.1:%d\"\n"
                        "back = \"127.0.0.1:%d\"\n\n",
                     c.name.c_str(), s.zones[c.index % s.zones.size()].c_str(), c.front, c.back);
        for (auto& o : controllers) {
            if (o->index == c.index) continue;
            std::fprintf(f, "[[known]]\nlabel = \"%s\"\ndomain = \"%s\"\naddr = \"127.0.0.1:%d\"\n\n",
                         o->name.c_str(), s.zones[o->index % s.zones.size()].c_str(),
                         links[{c.index, o->index}]->server.port);
        }
        std::fprintf(f, "[external]\ncloud = \"127.0.0.1:%d\"\nstate = \"127.0.0.1:%d\"\n\n",
                     cloud_server.port, c.state_port);
        std::fprintf(f, "[cluster]\ninitial_size = %zu\nzones = [", controllers.size());
        for (std::size_t i = 0; i < s.zones.size(); ++i)
            std::fprintf(f, "%s\"%s\"", i ? ", " : "", s.zones[i].c_str());
        std::fprintf(f, "]\nskew_ms = 5.0\n\n");
        for (const auto& t : s.teams)
            std::fprintf(f, "[[cluster.teams]]\nname = \"%s\"\ncpus = %.1f\ncpus_max = %.1f\n"
                            "gpus = 0.0\ngpus_max = 0.0\n\n",
                         t.name.c_str(), t.cpus, t.cpus_max);
        std::fprintf(f, "[cluster.workers]\nreport_s = %.2f\nlease_s = %.2f\ngang_wait_s = 35.0\n"
                        "gang_peer_s = 8.0\ncancel_s = %.2f\n\n",
                     s.report_s, s.lease_s, s.cancel_s);
        std::fprintf(f, "[cluster.state]\nrps = %.1f\nwrite_rps = %.1f\nvalue_kb = %.1f\n"
                        "txn_ops = %zu\n\n",
                     s.kv_rps, s.kv_write_rps, s.value_kb, s.txn_ops);
        std::fprintf(f, "[cluster.cloud]\nrps = %.1f\nlist_lag_s = %.1f\n\n", s.cloud_rps,
                     s.list_lag_s);
        std::fprintf(f, "[cluster.quota]\ncpu = %.3f\nmemory_mb = %.1f\nfd_limit = %d\n", s.cpu,
                     s.memory_mb, s.fd_limit);
        std::fclose(f);
    }
    void start(std::size_t i) {
        auto& c = *controllers[i];
        const auto log = dir + "/" + c.name + ".log";
        c.pid = fork();
        if (c.pid == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);  // it ends with the stand-ins
            const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(fd, 2);
            dup2(fd, 1);
            for (int k = 3; k < 4096; ++k) close(k);
            setenv("LOG_LEVEL", log_level.c_str(), 1);
            execl(program.c_str(), program.c_str(), "--config", c.settings.c_str(), nullptr);
            _exit(127);
        }
        ++c.starts;
        c.expected_down = false;
        record("start %s", c.name.c_str());
    }
    void start_all() {
        for (std::size_t i = 0; i < controllers.size(); ++i) start(i);
    }
    void kill_now(std::size_t i) {
        auto& c = *controllers[i];
        if (c.pid <= 0) return;
        c.expected_down = true;
        kill(c.pid, SIGCONT);
        kill(c.pid, SIGKILL);
        int st = 0;
        waitpid(c.pid, &st, 0);
        c.pid = -1;
        record("killed %s", c.name.c_str());
    }
    void stop_all() {
        stopping = true;
        for (std::size_t i = 0; i < controllers.size(); ++i) kill_now(i);
    }
    std::optional<std::size_t> leader() {
        const auto v = state.value("lead");
        if (!v) return std::nullopt;
        for (auto& c : controllers)
            if (c->name == (*v)["node"].s) return c->index;
        return std::nullopt;
    }
    std::size_t follower(std::size_t skip = 99) {
        for (std::size_t i = 0; i < controllers.size(); ++i)
            if (leader() != i && i != skip) return i;
        return 0;
    }
    task<bool> wait_ready(double limit) {
        const double until = now() + limit;
        while (now() < until) {
            std::size_t ok = 0;
            for (auto& c : controllers) {
                const auto r = co_await http_call(c->front, "GET", "/ready", "", 1);
                if (r.status == 200) ++ok;
            }
            if (ok == controllers.size() && leader()) co_return true;
            co_await sleep_s(0.1);
        }
        co_return false;
    }

    // ---- cloud ----

    void start_cloud() {
        cloud_server = serve([this](Req r) -> task<std::optional<Res>> {
            co_await sleep_s(0.04);
            co_return cloud(r);
        });
    }
    static Res ok(J j) { return {200, j.packed()}; }
    Res cloud(const Req& r) {
        if (cloud_outage) return {503, J::object({{"error", "trouble"}}).packed()};
        if (!cloud_budget.take(1)) return {429, J::object().packed()};
        const auto path = r.target.substr(0, r.target.find('?'));
        if (path == "/machine_types") {
            J l = J::array();
            for (const auto& t : settings.types) {
                J zones = J::array();
                for (const auto& z : t.zones) zones.a.push_back(z);
                l.a.push_back(J::object({{"name", t.name}, {"cores", t.cores},
                                         {"accelerators", 0.0}, {"ram_gb", t.ram},
                                         {"cache_gb", t.cache_gb}, {"fetch_gb_per_s", t.fetch},
                                         {"rate", t.rate}, {"low_price", t.low_price},
                                         {"startup_s", t.startup_s}, {"regions", zones}}));
            }
            return ok(J::object({{"shapes", l}}));
        }
        if (path == "/rentals" && r.method == "POST") return rent(J::parse(r.body));
        if (path == "/rentals/delete") {
            const J body = J::parse(r.body);
            for (const auto& h : body["hosts"].a) take(h.s, "deleted");
            return ok(J::object());
        }
        return list(r);
    }
    Res rent(const J& b) {
        const auto claim = b["claim"].s;
        if (claims.count(claim)) return ok(claims[claim]);
        std::size_t used = 0;
        for (auto& [h, m] : rentals) used += m.gone > now() && m.failed > now();
        const auto free = settings.capacity > used ? settings.capacity - used : 0;
        const auto n = std::min<std::size_t>({free, b["how_many"].n(), 50});
        if (n == 0) return {503, J::object({{"error", "no capacity"}}).packed()};
        J hosts = J::array();
        for (std::size_t k = 0; k < n; ++k) {
            char name[32];
            std::snprintf(name, sizeof name, "vm-%06zu", ++next_host);
            rentals[name] = {name, b["region"].s, b["shape"].s, b["reclaimable"].b, now()};
            hosts.a.push_back(name);
            boot(name);
        }
        record("rented claim=%s n=%zu zone=%s", claim.c_str(), n, b["region"].s.c_str());
        claims[claim] = J::object({{"hosts", hosts}});
        return ok(claims[claim]);
    }
    void boot(const std::string& host) {
        auto& m = rentals[host];
        const MachineType* type = nullptr;
        for (const auto& t : settings.types)
            if (t.name == m.shape) type = &t;
        if (!type) return;
        auto worker = std::make_unique<Worker>(*this, host, *type, m.zone, m.spot);
        auto* p = worker.get();
        workers[host] = std::move(worker);
        p->server = serve(p->handler());
        const double after = boot_time(host);
        spawn([this, p, after]() -> task<void> {
            co_await sleep_s(after);
            if (p->gone) co_return;
            rentals[p->host].up = now();
            p->up = true;
            p->lease_from = now();
            record("up %s zone=%s", p->host.c_str(), p->zone.c_str());
            spawn([p]() -> task<void> { co_await p->run(); });
            co_await p->report_loop();
        });
    }
    void take(const std::string& host, const char* why) {
        auto it = rentals.find(host);
        if (it == rentals.end() || it->second.gone < 1e17) return;
        it->second.gone = now();
        auto& w = *workers[host];
        std::size_t on = 0;
        for (auto& [id, t] : w.tasks) on += t.phase != "exited";
        if (on && std::string(why) == "deleted") ++deletions_with_tasks;
        record("%s %s tasks=%zu", why, host.c_str(), on);
        w.gone = true;
        w.server.close();
    }
    Res list(const Req& r) {
        const double at = now() - settings.list_lag_s * uniform(0, 2);
        const auto from = query(r.target, "from");
        const auto page = std::min<std::size_t>(500, to_u(query(r.target, "page")));
        J rows = J::array();
        bool more = false;
        for (auto& [h, m] : rentals) {
            if (h <= from || m.rented > at || m.gone <= at) continue;
            if (rows.a.size() == page) {
                more = true;
                break;
            }
            rows.a.push_back(J::object(
                {{"name_id", h},
                 {"endpoint", "127.0.0.1:" + std::to_string(workers[h]->server.port)},
                 {"shape", m.shape}, {"region", m.zone}, {"reclaimable", m.spot},
                 {"phase", m.failed <= at ? "failed" : m.up <= at ? "running" : "starting"},
                 {"held_s", at - m.rented}}));
        }
        return ok(J::object({{"hosts", rows}, {"has_next", more}}));
    }

    // ---- users ----

    User& add_user(JobDef job) {
        auto& u = users[job.id];
        u.job = std::move(job);
        return u;
    }
    // Submits until it is accepted, for up to 60 s; then polls until the end.
    void submit(JobDef job, double at = 0) {
        auto& u = add_user(std::move(job));
        spawn([this, &u, at]() -> task<void> {
            if (at > now()) co_await sleep_s(at - now());
            co_await submit_now(u);
            if (u.accepted) co_await poll_loop(u);
        });
    }
    std::vector<std::size_t> nodes_up() {
        std::vector<std::size_t> up;
        for (auto& c : controllers)
            if (c->pid > 0) up.push_back(c->index);
        return up;
    }
    std::size_t any_node() {
        const auto up = nodes_up();
        return up.empty() ? 0 : up[any(up.size())];
    }
    task<void> submit_now(User& u, std::optional<std::size_t> at_node = std::nullopt) {
        u.first_try = now();
        const auto body = u.job.body().packed();
        while (now() - u.first_try < 60 && !stopping) {
            const auto n = at_node ? *at_node : any_node();
            const auto r = co_await http_call(controllers[n]->front, "POST", "/v1/jobs", body, 5);
            record("submit %s at %zu -> %d %s", u.job.id.c_str(), n, r.status,
                   r.json()["phase"].s.c_str());
            if (r.status == 201 || r.status == 200) {
                u.accepted = true;
                u.accepted_at = now();
                saw(u, r, now());
                co_return;
            }
            if (r.status == 400 || r.status == 422) {
                u.refused_status = r.status;
                co_return;
            }
            co_await sleep_s(1 + uniform(0, 0.5));
        }
    }
    // What a user was told; `asked` is when the request was sent.
    void saw(User& u, const Res& r, double asked) {
        const auto phase = r.json()["phase"].s;
        u.last_answer = now();
        if (!u.end.empty() && asked > u.end_told && phase != u.end)
            broke("went_back", u.job.id + " was " + u.end + ", then " + phase);
        if (phase == "done") {
            if (static_cast<int>(u.completed.size()) < u.job.shards)
                broke("not_done", u.job.id);
            if (u.end.empty()) {
                u.end = phase;
                u.end_told = now();
            }
        } else if (phase == "withdrawn") {
            if (!u.cancel_asked && !ancestor_cancelled(u))
                broke("went_back", u.job.id + " is withdrawn, its user did not cancel it");
            if (u.end.empty()) {
                u.end = phase;
                u.end_told = u.cancel_told = now();
            }
        } else if (orphaned(u)) {
            broke("orphaned", u.job.id);
        }
        if (check_lag && phase != "done" && phase != "withdrawn" && asked > u.completed_at + 3)
            broke("state_lag", u.job.id + " is called " + phase + " more than 3 s after its last task");
    }
    bool ancestor_cancelled(const User& u) {
        for (const auto& id : u.job.waits_on)
            if (users[id].cancel_asked || ancestor_cancelled(users[id])) return true;
        return false;
    }
    bool orphaned(const User& u) {
        for (const auto& id : u.job.waits_on) {
            if (now() - users[id].cancel_told > settings.cancel_s) return true;
            if (orphaned(users[id])) return true;
        }
        return false;
    }
    task<Res> poll_once(User& u, std::size_t n, double timeout = 2) {
        const double asked = now();
        const auto r =
            co_await http_call(controllers[n]->front, "GET", "/v1/jobs/" + u.job.id, "", timeout);
        if (r.status == 404) broke("forgotten", u.job.id + " got 404");
        if (r.status == 200) saw(u, r, asked);
        record("poll %s at %zu -> %d %s done=%d", u.job.id.c_str(), n, r.status,
               r.json()["phase"].s.c_str(), static_cast<int>(r.json()["done"].n()));
        co_return r;
    }
    task<void> poll_loop(User& u) {
        while (!stopping) {
            co_await sleep_s(u.end.empty() ? uniform(4.5, 5.5) : uniform(15, 20));
            if (stopping) co_return;
            co_await poll_once(u, any_node());
        }
    }
    // Cancels until an answer says how the job ended.
    task<void> cancel(User& u, std::optional<std::size_t> at_node = std::nullopt) {
        u.cancel_asked = true;
        while (!stopping) {
            const auto n = at_node ? *at_node : any_node();
            const double asked = now();
            const auto r = co_await http_call(controllers[n]->front, "POST",
                                              "/v1/jobs/" + u.job.id + "/abort", "", 5);
            record("abort %s at %zu -> %d %s", u.job.id.c_str(), n, r.status,
                   r.json()["phase"].s.c_str());
            if (r.status == 404 && u.accepted) broke("forgotten", u.job.id + " abort got 404");
            if (r.status == 200) {
                saw(u, r, asked);
                co_return;
            }
            co_await sleep_s(1 + uniform(0, 0.5));
        }
    }

    // ---- rules ----

    const Team* team(const std::string& name) const {
        for (const auto& t : settings.teams)
            if (t.name == name) return &t;
        return nullptr;
    }
    static std::pair<std::string, int> split(const std::string& shard) {
        const auto s = shard.rfind('/');
        return {shard.substr(0, s), std::atoi(shard.c_str() + s + 1)};
    }
    void task_started(Worker& at, const std::string& shard) {
        ++starts;
        const auto [id, index] = split(shard);
        auto& u = users[id];
        u.first_start = std::min(u.first_start, now());
        ++u.starts;
        if (u.job.shards < 1000 || index % 100 == 0)  // of a large array only some
            record("start %s on %s", shard.c_str(), at.host.c_str());
        std::map<std::string, int> zones;
        for (auto& [h, w] : workers) {
            if (w.get() != &at && w->holds(shard)) broke("ran_twice", shard);
            for (auto& [t, s] : w->tasks)
                if (t.first != shard && split(t.first).first == id && w->holds(t.first))
                    ++zones[w->zone];
        }
        const auto& j = u.job;
        if (!j.region.empty() && j.region != at.zone) broke("wrong_place", shard + " zone");
        if (at.spot && !j.reclaimable) broke("wrong_place", shard + " kind");
        if (!j.shapes.empty() &&
            std::find(j.shapes.begin(), j.shapes.end(), at.type.name) == j.shapes.end())
            broke("wrong_place", shard + " type");
        if (j.together && !zones.empty() && !zones.count(at.zone))
            broke("wrong_place", shard + " together");
        if (j.apart && zones[at.zone] + 1 > (j.shards + 1) / 2)
            broke("wrong_place", shard + " apart");
        if (now() - u.cancel_told > settings.cancel_s) broke("ran_cancelled", shard + " starts");
        for (const auto& need : j.waits_on) {
            const auto& n = users[need];
            if (static_cast<int>(n.completed.size()) < n.job.shards) broke("too_early", shard);
        }
        check_quota();
    }
    std::map<std::string, double> usage() {
        std::map<std::string, double> use;
        for (auto& [h, w] : workers)
            for (auto& [t, s] : w->tasks)
                if (s.phase != "exited" && w->holds(t.first)) {
                    const auto& j = users[split(t.first).first].job;
                    use[j.team] += j.cores;
                }
        return use;
    }
    void check_quota() {
        for (const auto& [name, cores] : usage()) {
            const auto* t = team(name);
            if (t && t->cpus_max > 0 && cores > t->cpus_max + 1e-6)
                broke("quota", name + " uses " + std::to_string(cores));
        }
    }
    bool could_start(User& u) {
        int running = 0;
        std::map<std::string, int> zones;
        for (auto& [h, w] : workers)
            for (auto& [t, s] : w->tasks) {
                const auto [id, index] = split(t.first);
                if (id != u.job.id || s.phase == "exited" || w->gone) continue;
                ++zones[w->zone];
                if (!u.completed.count(index)) ++running;
            }
        if (static_cast<int>(u.completed.size()) + running >= u.job.shards) return false;
        const auto* t = team(u.job.team);
        if (t && t->cpus_max > 0 && usage()[u.job.team] + u.job.cores > t->cpus_max + 1e-6)
            return false;
        for (const auto& id : u.job.waits_on)
            if (static_cast<int>(users[id].completed.size()) < users[id].job.shards) return false;
        for (auto& [h, w] : workers) {
            if (!w->up || w->gone || w->hanging() || w->deaf || w->mute) continue;
            if (!u.job.region.empty() && u.job.region != w->zone) continue;
            if (w->spot && !u.job.reclaimable) continue;
            if (u.job.together && !zones.empty() && !zones.count(w->zone)) continue;
            if (u.job.apart && zones[w->zone] + 1 > (u.job.shards + 1) / 2) continue;
            if (w->used_cores() + u.job.cores <= w->type.cores + 1e-6 &&
                w->used_ram() + u.job.ram <= w->type.ram + 1e-6)
                return true;
        }
        return false;
    }
    double check_waits_from = 0;
    bool check_lag = false;  // "The state may lag by up to 3 s"
    task<void> check_loop() {
        double next_wait_check = 0;
        while (!stopping) {
            co_await sleep_s(0.1);
            check_quota();
            for (auto& [h, w] : workers)
                for (auto& [t, s] : w->tasks) {
                    if (s.phase == "exited" || !w->holds(t.first)) continue;
                    const auto& u = users[split(t.first).first];
                    if (now() - u.cancel_told > settings.cancel_s)
                        broke("ran_cancelled", t.first + " is on " + h);
                }
            for (auto& c : controllers)
                if (c->pid > 0 && !c->alive()) broke("crash", c->name + " ended by itself");
            if (now() < next_wait_check) continue;
            next_wait_check = now() + 0.5;
            for (auto& [id, u] : users) {
                const bool waits = u.accepted && !u.cancel_asked && u.end.empty() &&
                                   now() >= check_waits_from && could_start(u);
                if (!waits) {
                    u.waiting_since = -1;
                } else if (u.waiting_since < 0) {
                    u.waiting_since = now();
                }
                if (u.waiting_since < 0) continue;
                u.longest_wait = std::max(u.longest_wait, now() - u.waiting_since);
                if (now() - u.waiting_since > 90) broke("left_waiting", id);
            }
        }
    }
    int unfinished() {
        int n = 0;
        for (auto& [id, u] : users) n += u.accepted && u.end.empty();
        return n;
    }
};

// ---- workers ----

inline bool Worker::lease_over() const { return now() - lease_from > w.settings.lease_s; }
inline bool Worker::holds(const std::string& id) const {
    if (gone || !up || lease_over()) return false;
    for (auto it = tasks.lower_bound({id, 0}); it != tasks.end() && it->first.first == id; ++it)
        if (it->second.phase == "running" || it->second.phase == "saving") return true;
    return false;
}
inline double Worker::used_cores() const {
    double n = 0;
    for (auto& [id, t] : tasks)
        if (t.phase != "exited") n += w.users[World::split(id.first).first].job.cores;
    return n;
}
inline double Worker::used_ram() const {
    double n = 0;
    for (auto& [id, t] : tasks)
        if (t.phase != "exited") n += w.users[World::split(id.first).first].job.ram;
    return n;
}
inline J Worker::report_body() {
    J l = J::array();
    for (auto& [id, t] : tasks) {
        J j = J::object({{"shard", id.first}, {"try", t.attempt}, {"phase", t.phase}});
        if (t.phase == "exited") j.set("exit_reason", t.why);
        l.a.push_back(j);
    }
    return J::object({{"host", host}, {"endpoint", "127.0.0.1:" + std::to_string(server.port)},
                      {"shape", type.name}, {"region", zone}, {"reclaimable", spot},
                      {"tenure", tenure}, {"tick", ++tick}, {"epoch", epoch}, {"shards", l}});
}
inline void Worker::see_token(std::uint64_t t) {
    if (t <= epoch) return;
    epoch = t;
    if (now() - last_token_report >= w.settings.lease_s / 2) {
        last_token_report = now();
        changed = true;
    }
}
inline void Worker::execute(const J& orders) {
    // Long lists of orders are recorded by their number, the first and the last.
    const bool many = orders.a.size() > 20;
    if (many) {
        const auto& first = orders.a.front();
        const auto& last = orders.a.back();
        record("orders %s %zu of them: %s %s to %s %s", host.c_str(), orders.a.size(),
               first["verb"].s.c_str(), first["shard"].s.c_str(), last["verb"].s.c_str(),
               last["shard"].s.c_str());
    }
    for (const auto& o : orders.a) {
        const auto id = o["shard"].s;
        const auto attempt = o["try"].n();
        const auto verb = o["verb"].s;
        if (!many)
            record("order %s %s %s try=%llu", host.c_str(), verb.c_str(), id.c_str(),
                   static_cast<unsigned long long>(attempt));
        const std::pair<std::string, std::uint64_t> key(id, attempt);
        const auto it = tasks.find(key);
        if (verb == "start") {
            if (it != tasks.end()) continue;
            changed = true;
            const auto [job_id, index] = World::split(id);
            const auto u = w.users.find(job_id);
            bool busy = false;
            for (auto o = tasks.lower_bound({id, 0}); o != tasks.end() && o->first.first == id; ++o)
                busy = busy || o->second.phase != "exited";
            if (busy) {
                tasks[key] = {attempt, "exited", "busy", 0};
                continue;
            }
            if (u == w.users.end() || index >= u->second.job.shards) {
                tasks[key] = {attempt, "exited", "unknown", 0};
                continue;
            }
            const auto& job = u->second.job;
            if (used_cores() + job.cores > type.cores + 1e-6 ||
                used_ram() + job.ram > type.ram + 1e-6) {
                tasks[key] = {attempt, "exited", "full", 0};
                continue;
            }
            const double fetch =
                images.count(job.image) ? 0.0 : job.image_gb / type.fetch * w.uniform(0.75, 1.3);
            tasks[key] = {attempt, "fetching", "", now() + fetch};
        } else if (verb == "halt") {
            if (it == tasks.end() || it->second.phase == "exited") continue;
            it->second.phase = "exited";
            it->second.why = "halted";
            changed = true;
        } else if (verb == "clear") {
            if (it != tasks.end() && it->second.phase == "exited") tasks.erase(it);
        }
    }
}
inline void Worker::advance() {
    for (auto& [key, t] : tasks) {
        if (t.phase == "exited" || now() < t.until) continue;
        const auto& id = key.first;
        const auto [job_id, index] = World::split(id);
        auto& u = w.users[job_id];
        if (t.phase == "fetching") {
            images.insert(u.job.image);
            t.phase = "running";
            t.until = now() + (u.completed.count(index) ? 0 : u.job.run_s);
            w.task_started(*this, id);
        } else if (t.phase == "running") {
            t.phase = "exited";
            t.why = u.failing ? "error" : "done";
            if (u.job.shards < 1000 || index % 100 == 0)
                record("exited %s %s on %s", id.c_str(), t.why.c_str(), host.c_str());
            if (t.why == "done") u.completed.insert(index);
            if (static_cast<int>(u.completed.size()) == u.job.shards && u.completed_at > 1e17)
                u.completed_at = now();
        }
        changed = true;
    }
}
inline task<void> Worker::run() {
    while (!gone && !w.stopping) {
        if (!hanging()) {
            if (lease_over()) {
                if (!tasks.empty()) record("lease over %s tasks=%zu", host.c_str(), tasks.size());
                tasks.clear();
                ++tenure;
                lease_from = now();
                changed = true;
            }
            advance();
        }
        co_await sleep_s(0.02);
    }
}
inline task<void> Worker::report_loop() {
    const auto n = w.controllers.size();
    node = w.any(n);
    while (!gone && !w.stopping) {
        if (hanging() || !(now() >= next_report || (changed && now() >= last_report + 0.5))) {
            co_await sleep_s(0.02);
            continue;
        }
        const double sent = now();
        last_report = sent;
        next_report = sent + w.settings.report_s * w.uniform(0.75, 1.25);
        changed = false;
        const auto session = tenure;
        const auto body = report_body().packed();
        const auto body_size = body.size();
        Res r;
        if (mute || w.workers_cut[node]) {
            co_await sleep_s(4);
        } else {
            r = co_await http_call(w.controllers[node]->front, "POST", "/checkin", body, 4);
        }
        while (hanging()) co_await sleep_s(0.02);
        if (gone) co_return;
        if (deaf || now() - sent > 4) r = Res{};
        if (r.status == 200) {
            const J j = r.json();
            if (session != tenure || lease_over() || j["epoch"].n() < epoch) continue;
            see_token(j["epoch"].n());
            lease_from = sent;
            execute(j["orders"]);
        } else if (r.status == 400) {
            record("report of %s, %zu bytes, %zu tasks, at %zu -> 400", host.c_str(), body_size,
                   tasks.size(), node);
            node = (node + 1) % n;
            co_await sleep_s(1);
            next_report = 0;
        } else if (r.status == 421) {
            const auto to = r.json()["leader"].s;
            std::optional<std::size_t> other;
            for (auto& c : w.controllers)
                if (c->name == to && c->index != node) other = c->index;
            node = other ? *other : (node + 1) % n;
            co_await sleep_s(other ? w.uniform(0, 0.5) : 1);
            next_report = 0;
        } else {
            node = (node + 1) % n;
            co_await sleep_s(1);
            next_report = 0;
        }
    }
}
inline Handler Worker::handler() {
    return [this](Req r) -> task<std::optional<Res>> {
        const J j = J::parse(r.body);
        if (w.hold_for > 0 && w.hold_command(host, j["orders"])) co_await sleep_s(w.hold_for);
        while (hanging()) co_await sleep_s(0.02);
        if (gone || !up || deaf) co_return std::nullopt;
        if (lease_over()) co_await sleep_s(0.05);
        if (r.target == "/inspect") co_return Res{200, report_body().packed()};
        if (!j.has("epoch") || !j.has("tenure")) co_return StateService::empty(400);
        if (j["epoch"].n() < epoch || j["tenure"].n() != tenure)
            co_return Res{409, report_body().packed()};
        see_token(j["epoch"].n());
        execute(j["orders"]);
        co_return Res{200, report_body().packed()};
    };
}
