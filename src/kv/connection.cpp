#include "kv/connection.hpp"

#include <utility>

namespace dunebridge::kv {

using sansio::Destination;
using sansio::HttpResult;

namespace {
constexpr Millis kProbeIdleTime{800};
constexpr Millis kProbeTimeout{700};
// A small record that exists once a leader has been elected. Before that the store responds with
// status 404, which also shows that it can be reached.
constexpr const char* kProbeTarget = "/kv/term";
// With this status the store reports that it cannot serve requests, so the response does not count
// as usable.
constexpr int kServiceUnavailable = 503;
}  // namespace

Millis KvConnection::time_since_response() const {
    return reachable_ ? Millis(0) : context_.now() - last_success_at_;
}

void KvConnection::call(std::string method, std::string target, std::string body, Millis timeout,
                        sansio::Context::Continuation then) {
    const std::string logged_target = target;
    context_.call(Destination::kv_store, {}, std::move(method), std::move(target), std::move(body),
                  timeout, [this, logged_target, then = std::move(then)](const HttpResult& result) {
                      track_result(result, logged_target);
                      then(result);
                  });
}

void KvConnection::track_result(const HttpResult& result, const std::string& target) {
    const bool usable = result.has_response() && result.status != kServiceUnavailable;
    // The time without a response is measured from the first failure after a success.
    if (usable || reachable_) last_success_at_ = context_.now();
    last_result_at_ = context_.now();
    reachable_ = usable;
    if (usable) return;
    context_.log(sansio::LogLevel::debug, "event=kv_request_failed status={} target={}",
                 result.status, target);
}

void KvConnection::long_poll(std::string target, Millis timeout,
                             sansio::Context::Continuation then) {
    context_.call(Destination::kv_store, {}, "GET", std::move(target), {}, timeout,
                  std::move(then));
}

void KvConnection::probe_if_idle() {
    if (probing_) return;
    const auto due = last_result_at_ + kProbeIdleTime;
    if (context_.now() < due) {
        context_.request_wake(due);
        return;
    }
    probing_ = true;
    call("GET", kProbeTarget, {}, kProbeTimeout, [this](const HttpResult&) { probing_ = false; });
}

}  // namespace dunebridge::kv
