/// \file
/// The controller's interface to the outside world: the time and the random numbers that it is
/// given, and the calls, responses and log lines that it asks for.
#pragma once

#include <fmt/format.h>

#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

#include "base/types.hpp"
#include "sansio/effects.hpp"
#include "sansio/refusal.hpp"
#include "sansio/timers.hpp"

namespace dunebridge::sansio {

/// One controller's context, shared by all of its parts. It collects effects in memory; nothing is
/// carried out before Controller::apply() returns them. Not thread-safe: one thread owns it.
class Context {
  public:
    /// Called once with the result of a call, never from within call().
    using Continuation = std::function<void(const HttpResult&)>;

    Context(std::uint64_t seed, LogLevel level) : rng_(seed), level_(level) {}

    /// Sets the time of the step that begins.
    void advance_clock(Instant now, std::int64_t wall_ms);
    Instant now() const { return now_; }
    /// Milliseconds since the epoch. Only for records and comparison with others' clocks.
    std::int64_t wall_ms() const { return wall_ms_; }

    std::uint64_t random() { return rng_(); }
    /// A delay drawn evenly from zero to that, both included.
    Millis jitter(Millis most);

    /// Asks for a call. `then` is run with its result, within a later complete().
    void call(Destination destination, std::string endpoint, std::string method, std::string target,
              std::string body, Millis timeout, Continuation then);
    /// Hands the result of a call to its continuation; a second result is ignored.
    void complete(CallId id, const HttpResult& result);

    /// Responds to a request. Each request is to be responded to once.
    void respond(RequestId id, int status, std::string body);
    /// Responds with a refusal; `extra_delay` is added to its Retry-After.
    void refuse(RequestId id, const Refusal& refusal, std::chrono::seconds extra_delay = {});

    /// Adds a line to the log. Errors with the same format are limited in rate.
    template <class... Args>
    void log(LogLevel level, fmt::format_string<Args...> format, Args&&... args) {
        if (!may_log(level, format)) return;
        effects_.logs.push_back({level, fmt::format(format, std::forward<Args>(args)...)});
    }

    /// Runs something once, not before the delay is over.
    void after(Millis delay, std::function<void()> then);
    /// Runs the timers that are due and asks to be woken for the next.
    void run_timers();

    /// Asks for a step at that moment at the latest.
    void request_wake(Instant at);
    /// The earliest moment at which a step was asked for.
    Instant wake() const { return wake_; }
    void clear_wake_time() { wake_ = Instant::max(); }

    /// The effects since the last call, which are handed over.
    Effects take_effects() { return std::exchange(effects_, {}); }

  private:
    bool may_log(LogLevel level, fmt::string_view format);

    std::mt19937_64 rng_;
    LogLevel level_;
    Instant now_{};
    std::int64_t wall_ms_ = 0;
    Instant wake_ = Instant::max();
    std::uint64_t last_call_ = 0;
    std::unordered_map<CallId, Continuation> pending_;
    Timers timers_;
    LogRateLimit error_limit_;
    Effects effects_;
};

}  // namespace dunebridge::sansio
