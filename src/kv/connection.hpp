/// \file
/// Sends requests to the key-value store and tracks from their results whether it can be reached.
#pragma once

#include <string>

#include "base/types.hpp"
#include "sansio/context.hpp"

namespace dunebridge::kv {

/// Sends requests to the key-value store and tracks whether it can be reached.
class KvConnection {
  public:
    /// The context must outlive the connection.
    explicit KvConnection(sansio::Context& context) : context_(context) {}

    /// Sends a request, whose result counts for reachability. `then` is called exactly once, when
    /// the result is there or the time is over; never from within this function.
    void call(std::string method, std::string target, std::string body, Millis timeout,
              sansio::Context::Continuation then);
    /// Sends a long poll. Its result does not count for reachability: an open poll stays open
    /// during an outage, so a late response says nothing.
    void long_poll(std::string target, Millis timeout, sansio::Context::Continuation then);
    /// Reads something small if there has been no result for a while. Without it a controller that
    /// seldom makes requests would learn only from its users' waiting that it is cut off.
    void probe_if_idle();

    /// Whether the latest request got a usable response; true before the first result.
    bool reachable() const { return reachable_; }
    /// For how long requests have gone without a usable response; zero while reachable.
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
