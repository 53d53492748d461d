// The core's interface to the outside: the time and random numbers that it is given, calls and
// answers that it asks for. The I/O layer (or a test) carries the effects out.
#pragma once

#include <fmt/format.h>

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/types.hpp"

namespace dunebridge::sansio {

enum class Destination : std::uint8_t { state, cloud, worker, peer };
enum class LogLevel : std::uint8_t { error, info, debug };

struct HttpCall {
    CallId id;
    Destination service = Destination::state;
    std::string endpoint;  // workers and peers; the others have one address each
    std::string method;
    std::string target;
    std::string body;
    Millis timeout{1000};
};

// What came of a call.
struct HttpResult {
    // Instead of a status of HTTP. Without an answer the request may have been carried out, or may
    // yet be; one that was not sent certainly has not and will not.
    static constexpr int kNoResponse = 0;
    static constexpr int kNotSent = -1;

    int status = kNoResponse;
    std::string body;

    bool answered() const { return status > 0; }
    bool unsent() const { return status == kNotSent; }
};

struct HttpResponse {
    RequestId id;
    int status = 200;
    std::string body;
    int retry_after_s = 0;
};

struct LogRecord {
    LogLevel level = LogLevel::info;
    std::string text;
};

struct Effects {
    std::vector<HttpCall> calls;
    std::vector<HttpResponse> answers;
    std::vector<LogRecord> logs;
};

class Context {
  public:
    using Continuation = std::function<void(const HttpResult&)>;

    Context(std::uint64_t seed, LogLevel level) : rng_(seed), level_(level) {}

    void advance_clock(Instant now, std::int64_t wall_ms) {
        now_ = now;
        wall_ms_ = wall_ms;
    }
    Instant now() const { return now_; }
    std::int64_t wall_ms() const { return wall_ms_; }

    std::uint64_t random() { return rng_(); }
    Millis jitter(Millis most) {
        return Millis(std::uniform_int_distribution<std::int64_t>(0, most.count())(rng_));
    }

    void call(Destination service, std::string endpoint, std::string method, std::string target,
              std::string body, Millis timeout, Continuation then) {
        const CallId id(++last_call_);
        pending_.emplace(id, std::move(then));
        effects_.calls.push_back({id, service, std::move(endpoint), std::move(method),
                                  std::move(target), std::move(body), timeout});
    }
    void complete(CallId id, const HttpResult& reply) {
        const auto it = pending_.find(id);
        if (it == pending_.end()) return;
        const auto then = std::move(it->second);
        pending_.erase(it);
        then(reply);
    }

    void answer(RequestId id, int status, std::string body, int retry_after_s = 0) {
        effects_.answers.push_back({id, status, std::move(body), retry_after_s});
    }

    template <class... Args>
    void log(LogLevel level, fmt::format_string<Args...> format, Args&&... args) {
        if (level > level_ || (level == LogLevel::error && !within_rate(format))) return;
        effects_.logs.push_back({level, fmt::format(format, std::forward<Args>(args)...)});
    }

    // Runs something once, not before the delay is over.
    void after(Millis delay, std::function<void()> then) {
        timers_.emplace(now_ + delay, std::move(then));
    }
    void run_timers() {
        while (!timers_.empty() && timers_.begin()->first <= now_) {
            const auto then = std::move(timers_.begin()->second);
            timers_.erase(timers_.begin());
            then();
        }
        if (!timers_.empty()) request_wake(timers_.begin()->first);
    }

    // The earliest moment at which the core wants to be run again.
    void request_wake(Instant t) { wake_ = std::min(wake_, t); }
    Instant wake() const { return wake_; }
    void clear_wake_time() { wake_ = Instant::max(); }

    Effects take() { return std::exchange(effects_, {}); }

  private:
    // Whoever sends malformed messages must not fill the log: errors of one kind, told apart by
    // their format, are limited in rate.
    bool within_rate(fmt::string_view format) {
        constexpr int most = 5;
        constexpr Millis span{1000};
        auto& c = error_rates_[std::string(format.data(), format.size())];
        if (now_ - c.since >= span) c = {now_, 0};
        return ++c.lines <= most;
    }
    struct ErrorRate {
        Instant since{};
        int lines = 0;
    };

    std::mt19937_64 rng_;
    LogLevel level_;
    Instant now_{};
    std::int64_t wall_ms_ = 0;
    Instant wake_ = Instant::max();
    std::uint64_t last_call_ = 0;
    std::unordered_map<CallId, Continuation> pending_;
    std::multimap<Instant, std::function<void()>> timers_;
    std::unordered_map<std::string, ErrorRate> error_rates_;
    Effects effects_;
};

}  // namespace dunebridge::sansio
