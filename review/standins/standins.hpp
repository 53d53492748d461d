// Stand-ins for the systems around a controller, written from the protocol page: the state service,
// the cloud, the workers and a user's connection, and the start of controller processes. Everything
// listens on the loopback interface. Used by the cases in review/ only.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <iostream>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "wire/codec.hpp"

namespace standins {

using dunebridge::wire::Document;
using dunebridge::wire::Value;
using dunebridge::wire::Writer;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline const Clock::time_point kStart = Clock::now();
inline double now_s() { return std::chrono::duration<double>(Clock::now() - kStart).count(); }
inline void sleep_s(double s) {
    if (s > 0) std::this_thread::sleep_for(std::chrono::duration<double>(s));
}

// ---- record ----

class Record {
  public:
    static Record& get() {
        static Record record;
        return record;
    }
    void open(const std::string& path) { file_.open(path); }
    void line(const std::string& text) {
        const std::lock_guard lock(mutex_);
        char time[32];
        std::snprintf(time, sizeof time, "%8.3f ", now_s());
        file_ << time << text << "\n" << std::flush;
    }

  private:
    std::mutex mutex_;
    std::ofstream file_;
};
__attribute__((format(printf, 1, 2))) inline void note(const char* format, ...) {
    char text[2000];
    va_list args;
    va_start(args, format);
    std::vsnprintf(text, sizeof text, format, args);
    va_end(args);
    Record::get().line(text);
}

// ---- HTTP ----

struct Message {
    std::string method, target;  // of a request
    int status = 0;              // of a response; 0: none
    std::string body;
    bool close = false;
};

// Reads one message from the socket. Returns false at the end of the stream or on a timeout.
inline bool read_message(int fd, std::string& buffer, Message& message, bool response) {
    const auto more = [&] {
        char chunk[16384];
        const auto n = ::recv(fd, chunk, sizeof chunk, 0);
        if (n <= 0) return false;
        buffer.append(chunk, static_cast<std::size_t>(n));
        return true;
    };
    std::size_t head;
    while ((head = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!more()) return false;
    }
    std::istringstream lines(buffer.substr(0, head));
    std::string line, word;
    std::getline(lines, line);
    std::istringstream first(line);
    if (response) {
        first >> word >> message.status;
    } else {
        first >> message.method >> message.target;
    }
    std::size_t length = 0;
    while (std::getline(lines, line)) {
        std::transform(line.begin(), line.end(), line.begin(), [](char c) { return std::tolower(c); });
        if (line.starts_with("content-length:")) length = std::strtoul(line.c_str() + 15, nullptr, 10);
        if (line.starts_with("connection:") && line.find("close") != std::string::npos)
            message.close = true;
    }
    while (buffer.size() < head + 4 + length) {
        if (!more()) return false;
    }
    message.body = buffer.substr(head + 4, length);
    buffer.erase(0, head + 4 + length);
    return true;
}

inline bool write_all(int fd, const std::string& bytes) {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto n = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n <= 0) return false;
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

inline sockaddr_in loopback(int port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

// A server with one thread for each connection; the handler may block.
class HttpServer {
  public:
    using Handler = std::function<Message(const Message&)>;
    explicit HttpServer(Handler handler) : handler_(std::move(handler)) {
        fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        auto address = loopback(0);
        if (::bind(fd_, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
            ::listen(fd_, 1024) != 0) {
            throw std::runtime_error("cannot listen");
        }
        socklen_t size = sizeof address;
        ::getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &size);
        port_ = ntohs(address.sin_port);
        std::thread([this] { accept_loop(); }).detach();
    }
    int port() const { return port_; }
    std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

  private:
    void accept_loop() {
        for (;;) {
            const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                sleep_s(0.01);
                continue;
            }
            int on = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::thread([this, fd] { serve(fd); }).detach();
        }
    }
    void serve(int fd) {
        std::string buffer;
        Message request;
        while (read_message(fd, buffer, request, false)) {
            const auto response = handler_(request);
            if (response.status == 0) break;  // no response: the connection is closed
            const auto bytes = "HTTP/1.1 " + std::to_string(response.status) +
                               " X\r\nContent-Type: application/msgpack\r\nContent-Length: " +
                               std::to_string(response.body.size()) + "\r\n\r\n" + response.body;
            if (!write_all(fd, bytes)) break;
            request = {};
        }
        ::close(fd);
    }
    Handler handler_;
    int fd_ = -1;
    int port_ = 0;
};

// One connection of a client. A call returns status 0 without a response in time.
class HttpClient {
  public:
    explicit HttpClient(int port) : port_(port) {}
    ~HttpClient() { drop(); }
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;
    Message call(const std::string& method, const std::string& target, const std::string& body,
                 double timeout_s) {
        Message response;
        if (fd_ < 0 && !open(timeout_s)) return response;
        set_timeout(timeout_s);
        const auto bytes = method + " " + target +
                           " HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Length: " +
                           std::to_string(body.size()) + "\r\n\r\n" + body;
        std::string buffer;
        if (!write_all(fd_, bytes) || !read_message(fd_, buffer, response, true)) {
            drop();
            return {};
        }
        if (response.close) drop();
        return response;
    }
    void drop() {
        if (fd_ >= 0) ::close(fd_);
        fd_ = -1;
    }

  private:
    bool open(double timeout_s) {
        fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        set_timeout(timeout_s);
        auto address = loopback(port_);
        if (::connect(fd_, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0) return true;
        drop();
        return false;
    }
    void set_timeout(double s) const {
        timeval limit{static_cast<time_t>(s), static_cast<suseconds_t>((s - double(time_t(s))) * 1e6)};
        ::setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
        ::setsockopt(fd_, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    }
    int port_;
    int fd_ = -1;
};

inline std::string query(const std::string& target, const std::string& name) {
    for (const char* start : {"?", "&"}) {
        const auto at = target.find(start + name + "=");
        if (at == std::string::npos) continue;
        const auto from = at + name.size() + 2;
        return target.substr(from, target.find('&', from) - from);
    }
    return "";
}
inline std::string path_of(const std::string& target) { return target.substr(0, target.find('?')); }
inline Message respond(int status, std::string body) {
    Message message;
    message.status = status;
    message.body = std::move(body);
    return message;
}
inline Message error(int status, const std::string& text) {
    return respond(status, Writer().map(1).text("error").text(text).take());
}

// ---- state service ----

class TokenBucket {
  public:
    bool take(double n, double rate) {
        const double t = now_s();
        tokens_ = tokens_ < 0 ? rate : std::min(rate, tokens_ + (t - last_) * rate);
        last_ = t;
        if (tokens_ < n) return false;
        tokens_ -= n;
        return true;
    }

  private:
    double tokens_ = -1;
    double last_ = 0;
};

// Keys, transactions, leases and watches. A request is carried out when it arrives; `late`, if set,
// says by how many seconds its answer is then delayed.
class StateService {
  public:
    double rps = 200, write_rps = 80;
    std::size_t txn_ops = 48;
    std::function<double(const Message&)> late = [](const Message&) { return 0.003; };
    // How long a request is on its way before it is carried out.
    std::function<double(const Message&)> early = [](const Message&) { return 0.0; };
    // Whether a request that is carried out gets no answer.
    std::function<bool(const Message&)> lost = [](const Message&) { return false; };
    std::atomic<bool> outage{false};

    StateService() : server_([this](const Message& request) { return handle(request); }) {
        std::thread([this] {
            for (;;) {
                sleep_s(0.02);
                const std::lock_guard lock(mutex_);
                if (outage) {
                    for (auto& [id, lease] : leases_) lease.until = now_s() + lease.ttl;
                } else {
                    expire();
                }
            }
        }).detach();
    }
    std::string address() const { return server_.address(); }
    // The lease of a key: 0 without one; empty if there is no such key.
    std::optional<std::uint64_t> lease_of(const std::string& key) {
        const std::lock_guard lock(mutex_);
        const auto it = keys_.find(key);
        if (it == keys_.end()) return std::nullopt;
        return it->second.lease;
    }
    std::string text_of(const std::string& key, const char* field) {
        const std::lock_guard lock(mutex_);
        const auto it = keys_.find(key);
        if (it == keys_.end()) return "";
        const auto document = Document::parse(it->second.value);
        return document ? std::string(document->root()[field].text().value_or("")) : "";
    }

  private:
    struct Entry {
        std::string value;
        std::uint64_t rev = 0, lease = 0;
    };
    struct Lease {
        double ttl = 0, until = 0;
    };
    struct Change {
        std::uint64_t rev;
        std::string key;
        bool removed;
        std::string value;
    };

    Message handle(const Message& request) {
        const bool watch = path_of(request.target) == "/watch";
        if (!watch) sleep_s(early(request));
        Message response;
        if (outage && !watch) {
            response = error(503, "outage");
        } else {
            response = watch ? this->watch(request.target) : carry_out(request);
        }
        if (!watch) sleep_s(late(request));
        if (!watch && lost(request)) return {};
        return response;
    }

    Message carry_out(const Message& request) {
        const std::lock_guard lock(mutex_);
        expire();
        if (!requests_.take(1, rps)) return error(429, "requests");
        const auto path = path_of(request.target);
        if (path == "/kv") return list(request.target);
        if (path.starts_with("/kv/")) return get(path.substr(4));
        if (path == "/multi") return transact(request.body);
        if (path == "/leases") {
            const auto document = Document::parse(request.body);
            const auto ttl = document ? document->root()["ttl_ms"].count() : std::nullopt;
            if (!ttl || *ttl < 100 || *ttl > 600000) return error(400, "ttl_ms");
            const auto id = ++last_lease_;
            leases_[id] = {double(*ttl) / 1000, now_s() + double(*ttl) / 1000};
            return respond(200, Writer().map(1).text("tenancy").count(id).take());
        }
        if (path.starts_with("/leases/")) {
            const auto id = std::strtoull(path.c_str() + 8, nullptr, 10);
            const auto it = leases_.find(id);
            if (it == leases_.end()) return error(404, "no such lease");
            if (request.method == "DELETE") {
                it->second.until = 0;
                expire();
            } else {
                it->second.until = now_s() + it->second.ttl;
            }
            return respond(200, Writer().map(0).take());
        }
        return error(400, "path");
    }

    Message get(const std::string& key) {
        const auto it = keys_.find(key);
        if (it == keys_.end()) return respond(404, Writer().map(1).text("store_rev").count(rev_).take());
        Writer writer;
        writer.map(4).text("key").text(key).text("value").raw(it->second.value);
        writer.text("key_rev").count(it->second.rev).text("tenancy");
        it->second.lease ? writer.count(it->second.lease) : writer.null();
        return respond(200, writer.take());
    }

    Message list(const std::string& target) {
        const auto prefix = query(target, "starts");
        const auto from = query(target, "from");
        const auto page = std::min<std::size_t>(1000, std::strtoul(query(target, "page").c_str(), nullptr, 10));
        std::vector<std::map<std::string, Entry>::iterator> rows;
        std::size_t bytes = 0;
        bool more = false;
        for (auto it = keys_.lower_bound(std::max(prefix, from)); it != keys_.end(); ++it) {
            if (it->first <= from && !from.empty()) continue;
            if (!it->first.starts_with(prefix)) {
                if (it->first > prefix) break;
                continue;
            }
            bytes += it->first.size() + 2 * it->second.value.size() + 60;
            if (rows.size() >= page || (bytes > 512 * 1024 && !rows.empty())) {
                more = true;
                break;
            }
            rows.push_back(it);
        }
        Writer writer;
        writer.map(3).text("rows").list(rows.size());
        for (const auto& it : rows) {
            writer.map(3).text("key").text(it->first).text("value").raw(it->second.value);
            writer.text("key_rev").count(it->second.rev);
        }
        writer.text("has_next").boolean(more).text("store_rev").count(rev_);
        return respond(200, writer.take());
    }

    Message transact(const std::string& body) {
        if (body.size() > 64 * 1024) return error(400, "size");
        const auto document = Document::parse(body);
        if (!document) return error(400, "malformed");
        const auto guards = document->root()["guards"];
        const auto writes = document->root()["writes"];
        if (writes.size() > txn_ops || guards.size() > 4 * txn_ops) return error(400, "too many");
        if (writes.size() > 0 && !changes_allowed_.take(double(writes.size()), write_rps))
            return error(429, "changes");
        for (std::size_t i = 0; i < writes.size(); ++i) {
            const auto lease = writes.at(i)["tenancy"].count();
            if (lease && !leases_.contains(*lease)) return error(400, "no such lease");
            if (writes.at(i)["value"].pack().size() > 16 * 1024) return error(400, "value");
        }
        std::vector<std::string> failed;
        for (std::size_t i = 0; i < guards.size(); ++i) {
            const auto key = guards.at(i)["key"].need_text("key");
            const auto it = keys_.find(key);
            if ((it == keys_.end() ? 0 : it->second.rev) != guards.at(i)["key_rev"].need_count("key_rev"))
                failed.push_back(key);
        }
        if (!failed.empty()) {
            Writer writer;
            writer.map(2).text("failed").list(failed.size());
            for (const auto& key : failed) writer.text(key);
            return respond(409, writer.text("store_rev").count(rev_).take());
        }
        if (writes.size() > 0) ++rev_;
        for (std::size_t i = 0; i < writes.size(); ++i) {
            const auto write = writes.at(i);
            if (const auto removed = write["remove"].text()) {
                remove(std::string(*removed));
            } else {
                const auto key = write["set"].need_text("set");
                keys_[key] = {write["value"].pack(), rev_, write["tenancy"].count().value_or(0)};
                add_change({rev_, key, false, keys_[key].value});
            }
        }
        changed_.notify_all();
        return respond(200, Writer().map(1).text("store_rev").count(rev_).take());
    }

    Message watch(const std::string& target) {
        std::unique_lock lock(mutex_);
        expire();
        if (!outage && !requests_.take(1, rps)) return error(429, "requests");
        const auto prefix = query(target, "starts");
        const auto from = std::strtoull(query(target, "from").c_str(), nullptr, 10);
        const auto wait = std::min(60.0, std::strtod(query(target, "wait_ms").c_str(), nullptr) / 1000);
        const double until = now_s() + wait;
        std::vector<const Change*> news;
        for (;;) {
            if (!changes_.empty() && dropped_rev_ > from) return error(410, "too old");
            for (const auto& change : changes_) {
                if (change.rev > from && change.key.starts_with(prefix)) news.push_back(&change);
            }
            if ((!news.empty() && !outage) || (now_s() >= until && !outage)) break;
            news.clear();
            changed_.wait_for(lock, milliseconds(20));
        }
        Writer writer;
        writer.map(2).text("store_rev").count(rev_).text("news").list(news.size());
        for (const auto* change : news) {
            writer.map(change->removed ? 2 : 3).text(change->removed ? "remove" : "set").text(change->key);
            if (!change->removed) writer.text("value").raw(change->value);
            writer.text("key_rev").count(change->rev);
        }
        return respond(200, writer.take());
    }

    void add_change(Change change) {
        changes_.push_back(std::move(change));
        if (changes_.size() > 10000) {
            dropped_rev_ = changes_.front().rev;
            changes_.pop_front();
        }
    }
    void remove(const std::string& key) {
        if (keys_.erase(key) > 0) add_change({rev_, key, true, ""});
    }
    void expire() {
        for (auto it = leases_.begin(); it != leases_.end();) {
            if (now_s() < it->second.until) {
                ++it;
                continue;
            }
            const auto id = it->first;
            it = leases_.erase(it);
            std::vector<std::string> bound;
            for (const auto& [key, entry] : keys_) {
                if (entry.lease == id) bound.push_back(key);
            }
            if (bound.empty()) continue;
            ++rev_;
            for (const auto& key : bound) {
                note("state: lease %llu has ended, %s is removed", (unsigned long long)id, key.c_str());
                remove(key);
            }
            changed_.notify_all();
        }
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, Entry> keys_;
    std::map<std::uint64_t, Lease> leases_;
    std::deque<Change> changes_;
    std::uint64_t rev_ = 1, last_lease_ = 0, dropped_rev_ = 0;
    TokenBucket requests_, changes_allowed_;
    HttpServer server_;  // last: it uses the other members
};

// ---- jobs, workers and the cloud ----

// What the users have uploaded: how long each task of a job runs.
struct Uploads {
    std::mutex mutex;
    std::map<std::string, std::pair<std::uint32_t, double>> jobs;  // id -> tasks, seconds
    void add(const std::string& id, std::uint32_t tasks, double run_s) {
        const std::lock_guard lock(mutex);
        jobs[id] = {tasks, run_s};
    }
    std::map<std::string, int> starts;  // id -> tasks that a worker has started
    void count_start(const std::string& id) {
        const std::lock_guard lock(mutex);
        ++starts[id];
    }
    int starts_of(const std::string& id) {
        const std::lock_guard lock(mutex);
        return starts[id];
    }
    std::optional<std::pair<std::uint32_t, double>> find(const std::string& id) {
        const std::lock_guard lock(mutex);
        const auto it = jobs.find(id);
        if (it == jobs.end()) return std::nullopt;
        return it->second;
    }
};

struct WorkerSettings {
    double report_s = 3, lease_s = 17, fetch_s = 0.2, cores = 16, ram_gb = 128;
};

// A machine with its worker.
class Worker {
  public:
    Worker(std::string host, std::string type, std::string zone, bool spot, WorkerSettings settings,
           std::map<std::string, int> nodes, Uploads& uploads)
        : host_(std::move(host)),
          type_(std::move(type)),
          zone_(std::move(zone)),
          spot_(spot),
          settings_(settings),
          nodes_(std::move(nodes)),
          uploads_(uploads),
          server_([this](const Message& request) { return handle(request); }) {
        lease_from_ = now_s();
        std::thread([this] { report_loop(); }).detach();
    }
    void destroy() {
        const std::lock_guard lock(mutex_);
        gone_ = true;
        for (const auto& [name, task] : tasks_) {
            if (task.phase != "exited") note("worker %s: %s is gone with the machine", host_.c_str(), name.c_str());
        }
        tasks_.clear();
    }
    bool gone() {
        const std::lock_guard lock(mutex_);
        return gone_;
    }
    std::string address() const { return server_.address(); }
    std::size_t busy() {
        const std::lock_guard lock(mutex_);
        step();
        return static_cast<std::size_t>(std::count_if(tasks_.begin(), tasks_.end(), [](const auto& t) {
            return t.second.phase != "exited";
        }));
    }

  private:
    struct Task {
        std::uint64_t attempt = 0;
        std::string phase = "fetching", reason;
        double until = 0, run_s = 0;
    };

    // Moves tasks on, and ends the session when its lease has run out.
    void step() {
        const double t = now_s();
        if (t - lease_from_ > settings_.lease_s) {
            for (const auto& [name, task] : tasks_) {
                if (task.phase != "exited") note("worker %s: lease over, %s is killed", host_.c_str(), name.c_str());
            }
            tasks_.clear();
            ++tenure_;
            lease_from_ = t;
            changed_ = true;
        }
        for (auto& [name, task] : tasks_) {
            if (task.phase == "fetching" && t >= task.until) {
                note("worker %s: %s starts (try %llu)", host_.c_str(), name.c_str(), (unsigned long long)task.attempt);
                uploads_.count_start(name.substr(0, name.find('/')));
                task.phase = "running";
                task.until = t + task.run_s;
                changed_ = true;
            }
            if (task.phase == "running" && t >= task.until) {
                note("worker %s: %s is done", host_.c_str(), name.c_str());
                task.phase = "exited";
                task.reason = "done";
                changed_ = true;
            }
        }
    }

    std::string report() {
        ++tick_;
        Writer writer;
        writer.map(10).text("host").text(host_).text("endpoint").text(server_.address());
        writer.text("shape").text(type_).text("region").text(zone_).text("reclaimable").boolean(spot_);
        writer.text("tenure").count(tenure_).text("tick").count(tick_).text("epoch").count(token_);
        writer.text("eviction_s").null().text("shards").list(tasks_.size());
        for (const auto& [name, task] : tasks_) {
            const bool exited = task.phase == "exited";
            writer.map(exited ? 4 : 3).text("shard").text(name).text("try").count(task.attempt);
            writer.text("phase").text(task.phase);
            if (exited) writer.text("exit_reason").text(task.reason);
        }
        return writer.take();
    }

    void execute(Value orders) {
        for (std::size_t i = 0; i < orders.size(); ++i) {
            const auto order = orders.at(i);
            const auto verb = order["verb"].need_text("verb");
            const auto name = order["shard"].need_text("shard");
            const auto attempt = order["try"].need_count("try");
            const auto it = tasks_.find(name);
            if (verb == "start") {
                if (it != tasks_.end() && it->second.attempt == attempt) continue;
                note("worker %s: start %s try %llu", host_.c_str(), name.c_str(), (unsigned long long)attempt);
                const auto job = uploads_.find(name.substr(0, name.find('/')));
                Task task;
                task.attempt = attempt;
                if (it != tasks_.end() && it->second.phase != "exited") {
                    note("worker %s: %s is here with another attempt", host_.c_str(), name.c_str());
                    continue;
                }
                if (!job) {
                    task.phase = "exited";
                    task.reason = "unknown";
                } else {
                    task.run_s = job->second;
                    task.until = now_s() + settings_.fetch_s;
                }
                tasks_[name] = task;
                changed_ = true;
            } else if (it != tasks_.end() && it->second.attempt == attempt) {
                if (verb == "halt" && it->second.phase != "exited") {
                    note("worker %s: halt %s", host_.c_str(), name.c_str());
                    it->second.phase = "exited";
                    it->second.reason = "halted";
                    changed_ = true;
                } else if (verb == "clear" && it->second.phase == "exited") {
                    tasks_.erase(it);
                    changed_ = true;
                }
            }
        }
    }

    Message handle(const Message& request) {
        const std::lock_guard lock(mutex_);
        if (gone_) return {};
        step();
        if (request.target == "/inspect") return respond(200, report());
        const auto document = Document::parse(request.body);
        if (!document) return error(400, "malformed");
        const auto token = document->root()["epoch"].count();
        const auto tenure = document->root()["tenure"].count();
        if (!token || !tenure) return error(400, "missing");
        if (*token < token_ || *tenure != tenure_) return respond(409, report());
        see_token(*token);
        execute(document->root()["orders"]);
        return respond(200, report());
    }

    void see_token(std::uint64_t token) {
        if (token <= token_) return;
        token_ = token;
        if (now_s() - token_change_at_ > settings_.lease_s / 2) {
            token_change_at_ = now_s();
            changed_ = true;
        }
    }

    void report_loop() {
        std::mt19937 random(std::hash<std::string>{}(host_));
        auto node = nodes_.begin();
        std::advance(node, random() % nodes_.size());
        auto client = std::make_unique<HttpClient>(node->second);
        double next = now_s(), last = -10;
        const auto try_node = [&](std::map<std::string, int>::iterator to, double pause) {
            node = to;
            client = std::make_unique<HttpClient>(node->second);
            next = now_s() + pause;
        };
        const auto following = [&] {
            auto to = std::next(node);
            return to == nodes_.end() ? nodes_.begin() : to;
        };
        for (;;) {
            sleep_s(0.02);
            std::string body;
            std::uint64_t tenure;
            double sent;
            {
                const std::lock_guard lock(mutex_);
                if (gone_) return;
                step();
                if (changed_) next = std::min(next, std::max(now_s(), last + 0.5));
                if (now_s() < next) continue;
                changed_ = false;
                body = report();
                tenure = tenure_;
                sent = last = now_s();
            }
            const auto reply = client->call("POST", "/checkin", body, 4);
            const std::lock_guard lock(mutex_);
            step();
            next = now_s() + settings_.report_s * (0.75 + 0.5 * double(random() % 1000) / 1000);
            if (reply.status == 421) {
                const auto document = Document::parse(reply.body);
                const auto leader = document ? document->root()["leader"].text() : std::nullopt;
                const auto to = leader ? nodes_.find(std::string(*leader)) : nodes_.end();
                if (to != nodes_.end() && to != node) {
                    try_node(to, 0.1);
                } else {
                    try_node(following(), 1);
                }
                continue;
            }
            if (reply.status != 200) {
                try_node(following(), 1);
                continue;
            }
            const auto document = Document::parse(reply.body);
            if (!document || tenure != tenure_) continue;
            const auto token = document->root()["epoch"].count().value_or(0);
            if (token < token_ || token == 0) continue;
            see_token(token);
            lease_from_ = std::max(lease_from_, sent);
            execute(document->root()["orders"]);
        }
    }

    std::string host_, type_, zone_;
    bool spot_;
    WorkerSettings settings_;
    std::map<std::string, int> nodes_;
    Uploads& uploads_;
    std::mutex mutex_;
    bool gone_ = false, changed_ = false;
    std::map<std::string, Task> tasks_;
    std::uint64_t tenure_ = 1, tick_ = 0, token_ = 0;
    double lease_from_ = 0, token_change_at_ = -1000;
    HttpServer server_;
};

// One machine type in every zone; machines are up after `boot_s`.
class Cloud {
  public:
    double boot_s = 1.5, list_lag_s = 5;
    std::size_t capacity = 100;
    WorkerSettings worker;
    std::vector<std::string> zones;
    std::map<std::string, int> nodes;  // public ports of the controllers by name

    explicit Cloud(Uploads& uploads)
        : uploads_(uploads), server_([this](const Message& request) { return handle(request); }) {}
    std::string address() const { return server_.address(); }
    // Machines that are up and have no task.
    std::size_t idle_machines() {
        const std::lock_guard lock(mutex_);
        std::size_t idle = 0;
        for (const auto& [name, machine] : machines_) {
            if (machine->worker && !machine->worker->gone() && machine->worker->busy() == 0) ++idle;
        }
        return idle;
    }
    std::size_t machines_up() {
        const std::lock_guard lock(mutex_);
        std::size_t up = 0;
        for (const auto& [name, machine] : machines_) up += machine->worker && machine->gone_at > 1e17;
        return up;
    }

  private:
    struct Machine {
        std::string name, zone;
        bool spot = false;
        double created_at = 0, gone_at = 1e18;
        std::unique_ptr<Worker> worker;
    };

    Message handle(const Message& request) {
        sleep_s(0.02);
        const auto path = path_of(request.target);
        const std::lock_guard lock(mutex_);
        const auto document = Document::parse(request.body);
        const auto body = document ? document->root() : Value();
        if (path == "/machine_types") return machine_types();
        if (path == "/rentals/delete") {
            for (std::size_t i = 0; i < body["hosts"].size(); ++i) {
                const auto it = machines_.find(std::string(body["hosts"].at(i).text().value_or("")));
                if (it == machines_.end() || it->second->gone_at < 1e17) continue;
                note("cloud: %s is deleted", it->first.c_str());
                it->second->gone_at = now_s();
                if (it->second->worker) it->second->worker->destroy();
            }
            return respond(200, Writer().map(0).take());
        }
        if (path == "/rentals" && request.method == "POST") return rent(body);
        if (path == "/rentals") return list(request.target);
        return error(400, "path");
    }

    Message machine_types() {
        Writer writer;
        writer.map(1).text("shapes").list(1).map(10).text("name").text("node-16");
        writer.text("cores").number(worker.cores).text("accelerators").number(0);
        writer.text("ram_gb").number(worker.ram_gb).text("cache_gb").number(100);
        writer.text("fetch_gb_per_s").number(1).text("rate").number(1.19).text("low_price").number(0.44);
        writer.text("startup_s").number(40).text("regions").list(zones.size());
        for (const auto& zone : zones) writer.text(zone);
        return respond(200, writer.take());
    }

    Message rent(Value body) {
        const auto claim = body["claim"].need_text("claim");
        const auto known = claims_.find(claim);
        if (known != claims_.end()) return respond(200, known->second);
        std::size_t up = 0;
        for (const auto& [name, machine] : machines_) up += machine->gone_at > 1e17;
        const auto wanted = std::min<std::size_t>({body["how_many"].need_count("how_many"), 50,
                                                   capacity - std::min(capacity, up)});
        if (wanted == 0) return error(503, "no capacity");
        Writer writer;
        writer.map(1).text("hosts").list(wanted);
        for (std::size_t i = 0; i < wanted; ++i) {
            char name[32];
            std::snprintf(name, sizeof name, "vm-%06d", ++last_);
            auto machine = std::make_unique<Machine>();
            machine->name = name;
            machine->zone = body["region"].need_text("region");
            machine->spot = body["reclaimable"].boolean().value_or(false);
            machine->created_at = now_s();
            writer.text(name);
            auto* raw = machine.get();
            machines_[name] = std::move(machine);
            std::thread([this, raw] {
                sleep_s(boot_s);
                const std::lock_guard lock(mutex_);
                if (raw->gone_at < 1e17) return;
                note("cloud: %s is up", raw->name.c_str());
                raw->worker = std::make_unique<Worker>(raw->name, "node-16", raw->zone, raw->spot, worker,
                                                       nodes, uploads_);
            }).detach();
        }
        note("cloud: rented %zu, claim %s", wanted, claim.c_str());
        return respond(200, claims_[claim] = writer.take());
    }

    // The list is as old as its lag.
    Message list(const std::string& target) {
        const auto from = query(target, "from");
        const auto page = std::min<std::size_t>(500, std::strtoul(query(target, "page").c_str(), nullptr, 10));
        const double at = now_s() - list_lag_s;
        std::vector<const Machine*> rows;
        bool more = false;
        for (const auto& [name, machine] : machines_) {
            if (name <= from || machine->created_at > at || machine->gone_at <= at) continue;
            if (rows.size() == page) {
                more = true;
                break;
            }
            rows.push_back(machine.get());
        }
        Writer writer;
        writer.map(2).text("hosts").list(rows.size());
        for (const auto* machine : rows) {
            const bool up = machine->created_at + boot_s < at;
            writer.map(7).text("name_id").text(machine->name).text("endpoint");
            writer.text(machine->worker ? machine->worker->address() : "127.0.0.1:9");
            writer.text("shape").text("node-16").text("region").text(machine->zone);
            writer.text("reclaimable").boolean(machine->spot).text("phase").text(up ? "running" : "starting");
            writer.text("held_s").number(at - machine->created_at);
        }
        return respond(200, writer.text("has_next").boolean(more).take());
    }

    Uploads& uploads_;
    std::mutex mutex_;
    std::map<std::string, std::unique_ptr<Machine>> machines_;
    std::map<std::string, std::string> claims_;
    int last_ = 0;
    HttpServer server_;
};

// ---- controllers ----

// A free port below the range that the system uses for outgoing connections, so that it is still
// free when a controller is started again.
inline int free_port() {
    static std::mt19937 random(std::random_device{}());
    for (;;) {
        const int port = 12000 + int(random() % 20000);
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        auto address = loopback(port);
        const bool free = ::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
        ::close(fd);
        if (free) return port;
    }
}

// The values of the site file fleet/shabdsetu-ahmedabad-fleet.toml.
struct ClusterSettings {
    double report_s = 5, lease_s = 26.5, cancel_s = 56.5;
    double rps = 350, write_rps = 150;
    int txn_ops = 48;
    double list_lag_s = 5, cloud_rps = 12;
    double cpus_max = 0;
};

// The controller processes, started with the command of the deploy file.
class Controllers {
  public:
    Controllers(std::string folder, std::string program, int count, const std::string& state,
                const std::string& cloud, const ClusterSettings& s)
        : folder_(std::move(folder)), program_(std::move(program)) {
        static const char* zone_names[] = {"zone-a", "zone-b", "zone-c"};
        for (int i = 0; i < count; ++i) {
            nodes_.push_back({"dunehost-" + std::to_string(i), zone_names[i % 3], free_port(), free_port(), 0});
        }
        for (const auto& node : nodes_) {
            std::ofstream file(folder_ + "/" + node.label + ".toml");
            file << "label = \"" << node.label << "\"\ndomain = \"" << node.zone << "\"\npublic_addr = \"127.0.0.1:"
                 << node.port << "\"\nback = \"127.0.0.1:" << node.back << "\"\n\n";
            for (const auto& other : nodes_) {
                if (other.label == node.label) continue;
                file << "[[known]]\nlabel = \"" << other.label << "\"\ndomain = \"" << other.zone
                     << "\"\naddr = \"127.0.0.1:" << other.back << "\"\n\n";
            }
            file << "[external]\ncloud = \"" << cloud << "\"\nstate = \"" << state << "\"\n\n[cluster]\ninitial_size = "
                 << count << "\nzones = [\"zone-a\", \"zone-b\", \"zone-c\"]\nskew_ms = 5.0\n\n"
                 << "[[cluster.teams]]\nname = \"desk\"\ncpus = 0.0\ncpus_max = " << std::fixed << s.cpus_max
                 << "\ngpus = 0.0\ngpus_max = 0.0\n\n[cluster.workers]\nreport_s = " << s.report_s
                 << "\nlease_s = " << s.lease_s << "\ngang_wait_s = 35.0\ngang_peer_s = 8.0\ncancel_s = " << s.cancel_s
                 << "\n\n[cluster.state]\nrps = " << s.rps << "\nwrite_rps = " << s.write_rps
                 << "\nvalue_kb = 16.0\ntxn_ops = " << s.txn_ops << "\n\n[cluster.cloud]\nrps = " << s.cloud_rps
                 << "\nlist_lag_s = " << s.list_lag_s
                 << "\n\n[cluster.quota]\ncpu = 1.0\nmemory_mb = 200.0\nfd_limit = 1800\n";
        }
    }
    ~Controllers() {
        for (std::size_t i = 0; i < nodes_.size(); ++i) kill(i);
    }
    void start(std::size_t i) {
        auto& node = nodes_[i];
        const auto settings = folder_ + "/" + node.label + ".toml";
        const auto log = folder_ + "/" + node.label + ".log";
        const pid_t pid = ::fork();
        if (pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(fd, 2);
            ::execl(program_.c_str(), program_.c_str(), "--config", settings.c_str(), nullptr);
            ::_exit(127);
        }
        node.pid = pid;
        note("controller %s is started, pid %d", node.label.c_str(), int(pid));
    }
    void kill(std::size_t i) {
        auto& node = nodes_[i];
        if (node.pid <= 0) return;
        ::kill(node.pid, SIGKILL);
        ::waitpid(node.pid, nullptr, 0);
        note("controller %s is killed", node.label.c_str());
        node.pid = 0;
    }
    void signal(std::size_t i, int number) {
        if (nodes_[i].pid > 0) ::kill(nodes_[i].pid, number);
    }
    // Whether the process has ended by itself.
    bool ended(std::size_t i) {
        return nodes_[i].pid > 0 && ::waitpid(nodes_[i].pid, nullptr, WNOHANG) == nodes_[i].pid;
    }
    std::size_t size() const { return nodes_.size(); }
    int port(std::size_t i) const { return nodes_[i].port; }
    const std::string& label(std::size_t i) const { return nodes_[i].label; }
    std::size_t index_of(const std::string& label) const {
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            if (nodes_[i].label == label) return i;
        }
        return nodes_.size();
    }
    std::map<std::string, int> public_ports() const {
        std::map<std::string, int> ports;
        for (const auto& node : nodes_) ports[node.label] = node.port;
        return ports;
    }
    bool ready(std::size_t i) const { return HttpClient(port(i)).call("GET", "/ready", "", 1).status == 200; }
    bool wait_ready(std::size_t i, double timeout_s) const {
        const double until = now_s() + timeout_s;
        while (now_s() < until) {
            if (ready(i)) return true;
            sleep_s(0.1);
        }
        return false;
    }

  private:
    struct Node {
        std::string label, zone;
        int port, back;
        pid_t pid;
    };
    std::string folder_, program_;
    std::vector<Node> nodes_;
};

// ---- users ----

struct JobRequest {
    std::string id;
    int tasks = 1;
    double cores = 1, ram_gb = 1;
    double run_s = 5;
    std::string priority = "standard";
    std::vector<std::string> waits_on{};
    std::string encode() const {
        Writer writer;
        writer.map(waits_on.empty() ? 20 : 21).text("name_id").text(id).text("jobclass").text("batch");
        writer.text("owner").text("desk").text("jobkind").text("array").text("urgency").text(priority);
        writer.text("shards").count(std::uint64_t(tasks)).text("cores").number(cores);
        writer.text("accelerators").number(0).text("ram_gb").number(ram_gb).text("bundle").text("img-01");
        writer.text("size_gb").number(0.5).text("shapes").null().text("region").null();
        writer.text("together").boolean(false).text("apart").boolean(false);
        writer.text("reclaimable").boolean(true).text("expected_s").number(run_s);
        writer.text("snapshot_every_s").number(0).text("snapshot_s").number(0).text("due_s").null();
        if (!waits_on.empty()) {
            writer.text("waits_on").list(waits_on.size());
            for (const auto& other : waits_on) writer.text(other);
        }
        return writer.take();
    }
};

inline std::string phase_of(const Message& response) {
    const auto document = Document::parse(response.body);
    return document ? std::string(document->root()["phase"].text().value_or("")) : "";
}
inline std::string job_id(int number) {
    char id[32];
    std::snprintf(id, sizeof id, "req-%06d", number);
    return id;
}

// Submits a job and repeats the submission until it is accepted, as a user does. Returns whether it
// was accepted.
inline bool submit(HttpClient& client, Uploads& uploads, const JobRequest& job, double for_s = 60) {
    uploads.add(job.id, std::uint32_t(job.tasks), job.run_s);
    const double until = now_s() + for_s;
    while (now_s() < until) {
        const auto response = client.call("POST", "/v1/jobs", job.encode(), 5);
        if (response.status == 200 || response.status == 201) return true;
        if (response.status == 400 || response.status == 422) {
            note("user: %s is refused with %d", job.id.c_str(), response.status);
            return false;
        }
        sleep_s(1);
    }
    return false;
}

}  // namespace standins
