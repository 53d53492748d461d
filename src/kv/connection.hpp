/// \file
/// Sends requests to the key-value store and tracks from the results whether it can be reached.
#pragma once

#include <string>

#include "base/types.hpp"
#include "sansio/context.hpp"

namespace dunebridge::kv {

/// Connection to the key-value store. Tracks from the results of requests whether the store can be
/// reached.
class KvConnection {
  public:
    /// The context must outlive the connection.
    explicit KvConnection(sansio::Context& context) : context_(context) {}

    /// Sends a request and updates reachability with its result. `then` is called exactly once,
    /// when the response has arrived or the timeout has expired, but never from within this
    /// function.
    void call(std::string method, std::string target, std::string body, Millis timeout,
              sansio::Context::Continuation then);
    /// Sends a long poll. Its result does not affect reachability: an open poll stays open during
    /// an outage, so a late response gives no evidence either way. `then` is called as for call().
    void long_poll(std::string target, Millis timeout, sansio::Context::Continuation then);
    /// Sends a small read if no request has completed for a while, and schedules the next check.
    /// Without it a controller that seldom sends requests would notice that it is cut off from the
    /// store only when a user's request has to wait.
    void probe_if_idle();

    /// Whether the latest completed request got a usable response; true before the first result.
    bool reachable() const { return reachable_; }
    /// Time for which requests have had no usable response; zero while the store is reachable.
    Millis time_since_response() const;

    sansio::Context& context() { return context_; }

  private:
    void track_result(const sansio::HttpResult& result, const std::string& target);

    sansio::Context& context_;
    bool reachable_ = true;
    /// Time of the last usable response, or of the first failure after it.
    Instant last_success_at_{};
    Instant last_result_at_{};
    bool probing_ = false;
};

}  // namespace dunebridge::kv
