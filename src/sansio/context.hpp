/// \file
/// The controller's interface to its environment: it receives the time and random numbers, and
/// requests calls, responses, log lines and timers.
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

/// The context that all components of a controller share. It collects effects in memory; the I/O
/// layer executes them after Controller::apply() has returned them. Not thread-safe.
class Context {
  public:
    /// Invoked once with the result of a call, never from within call().
    using Continuation = std::function<void(const HttpResult&)>;

    Context(std::uint64_t seed, LogLevel level) : rng_(seed), level_(level) {}

    /// Sets the time at the beginning of a step.
    void advance_clock(Instant now, std::int64_t wall_ms);
    Instant now() const { return now_; }
    /// Returns the system time in milliseconds since the Unix epoch. Only for stored records and
    /// for comparison with the clocks of other processes; use now() to measure time.
    std::int64_t wall_ms() const { return wall_ms_; }

    std::uint64_t random() { return rng_(); }
    /// Returns a uniformly distributed random delay from zero to `max`, inclusive.
    Millis jitter(Millis max);

    /// Requests an HTTP call. A later complete() invokes `then` with the result. `endpoint` is
    /// empty for the key-value store and the cloud.
    void call(Destination destination, std::string endpoint, std::string method, std::string target,
              std::string body, Millis timeout, Continuation then);
    /// Passes the result of a call to its continuation. A second result for the same call is
    /// ignored.
    void complete(CallId id, const HttpResult& result);

    /// Responds to a request. The caller must respond to each request exactly once.
    void respond(RequestId id, int status, std::string body);
    /// Responds with an error; `extra_delay` is added to its Retry-After.
    void refuse(RequestId id, const Refusal& refusal, std::chrono::seconds extra_delay = {});

    /// Adds a line to the log. Errors with the same format string are rate-limited.
    template <class... Args>
    void log(LogLevel level, fmt::format_string<Args...> format, Args&&... args) {
        if (!may_log(level, format)) return;
        effects_.logs.push_back({level, fmt::format(format, std::forward<Args>(args)...)});
    }

    /// Runs `then` once, in the first step after the delay has passed.
    void after(Millis delay, std::function<void()> then);
    /// Runs the timers that are due and requests a wake-up for the next one.
    void run_timers();

    /// Requests that a step is run no later than `at`.
    void request_wake(Instant at);
    /// Returns the earliest requested wake-up; Instant::max() if there is none.
    Instant wake() const { return wake_; }
    void clear_wake_time() { wake_ = Instant::max(); }

    /// Returns the effects collected since the previous call and clears them.
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
