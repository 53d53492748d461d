/// \file
/// HTTP as the controller sees it: calls that it wants made, what came of them, and its responses
/// to requests. Plain values; the I/O layer (or a test) does the work.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <utility>

#include "base/types.hpp"

namespace dunebridge::sansio {

inline constexpr int kHttpOk = 200;

/// Which kind of server a call goes to.
enum class Destination : std::uint8_t { kv_store, cloud, worker, peer };

/// A call that the I/O layer is to make.
struct HttpCall {
    CallId id;
    Destination destination = Destination::kv_store;
    /// Address of a worker or a peer; empty for the others, which have one configured address each.
    std::string endpoint;
    std::string method;
    std::string target;
    std::string body;
    Millis timeout{1000};
};

/// How a call ended. Without a response the request may have been carried out, or may yet be; one
/// that was not sent certainly has not been and will not be.
enum class CallOutcome : std::uint8_t { response, no_response, not_sent };

/// The result of a call.
struct HttpResult {
    CallOutcome outcome = CallOutcome::no_response;
    int status = 0;  ///< Of a response only; else 0.
    std::string body;

    HttpResult() = default;
    /// A response.
    HttpResult(int http_status, std::string response_body)
        : outcome(CallOutcome::response), status(http_status), body(std::move(response_body)) {}
    /// A call that ended without a response.
    explicit HttpResult(CallOutcome without_response) : outcome(without_response) {}

    bool has_response() const { return outcome == CallOutcome::response; }
    bool not_sent() const { return outcome == CallOutcome::not_sent; }
    bool ok() const { return has_response() && status == kHttpOk; }
};

/// The response to a request that was received.
struct HttpResponse {
    RequestId id;
    int status = kHttpOk;
    std::string body;
    /// When the client should try again; zero: not said.
    std::chrono::seconds retry_after{0};
};

}  // namespace dunebridge::sansio
