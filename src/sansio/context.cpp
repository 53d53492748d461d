#include "sansio/context.hpp"

#include <algorithm>

#include "wire/messages.hpp"

namespace dunebridge::sansio {

void Context::advance_clock(Instant now, std::int64_t wall_ms) {
    now_ = now;
    wall_ms_ = wall_ms;
}

Millis Context::jitter(Millis max) {
    return Millis(std::uniform_int_distribution<std::int64_t>(0, max.count())(rng_));
}

void Context::call(Destination destination, std::string endpoint, std::string method,
                   std::string target, std::string body, Millis timeout, Continuation then) {
    const CallId id(++last_call_);
    pending_.emplace(id, std::move(then));
    effects_.calls.push_back({id, destination, std::move(endpoint), std::move(method),
                              std::move(target), std::move(body), timeout});
}

void Context::complete(CallId id, const HttpResult& result) {
    const auto it = pending_.find(id);
    if (it == pending_.end()) return;
    const auto then = std::move(it->second);
    pending_.erase(it);
    then(result);
}

void Context::respond(RequestId id, int status, std::string body) {
    effects_.responses.push_back({id, status, std::move(body)});
}

void Context::refuse(RequestId id, const Refusal& refusal, std::chrono::seconds extra_delay) {
    effects_.responses.push_back({id, refusal.http_status(), wire::encode_error(refusal.text()),
                                  refusal.retry_after() + extra_delay});
}

void Context::after(Millis delay, std::function<void()> then) {
    timers_.add(now_ + delay, std::move(then));
}

void Context::run_timers() {
    timers_.run_due(now_);
    if (const auto next = timers_.next_due()) request_wake(*next);
}

void Context::request_wake(Instant at) { wake_ = std::min(wake_, at); }

bool Context::may_log(LogLevel level, fmt::string_view format) {
    if (level > level_) return false;
    // The format string identifies the kind of error.
    return level != LogLevel::error ||
           error_limit_.allow(std::string_view(format.data(), format.size()), now_);
}

}  // namespace dunebridge::sansio
