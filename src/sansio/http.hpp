/// \file
/// HTTP messages of the controller as plain values: outgoing calls, their results, and responses to
/// incoming requests. The I/O layer, or a test, does the actual transfer.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <utility>

#include "base/types.hpp"

namespace dunebridge::sansio {

inline constexpr int kHttpOk = 200;

/// The kind of server that a call is sent to.
enum class Destination : std::uint8_t { kv_store, cloud, worker, peer };

/// An HTTP request for the I/O layer to send.
struct HttpCall {
    CallId id;
    Destination destination = Destination::kv_store;
    /// Address of the worker or peer; empty for the key-value store and the cloud, whose addresses
    /// are configured.
    std::string endpoint;
    std::string method;
    std::string target;
    std::string body;
    Millis timeout{1000};
};

/// How a call ended. After `no_response` the server may have executed the request, or may still do
/// so. After `not_sent` it certainly has not and will not.
enum class CallOutcome : std::uint8_t { response, no_response, not_sent };

/// The result of a call.
struct HttpResult {
    CallOutcome outcome = CallOutcome::no_response;
    int status = 0;  ///< HTTP status; 0 without a response.
    std::string body;

    HttpResult() = default;
    /// The server responded.
    HttpResult(int http_status, std::string response_body)
        : outcome(CallOutcome::response), status(http_status), body(std::move(response_body)) {}
    /// The call ended without a response, as `without_response` says.
    explicit HttpResult(CallOutcome without_response) : outcome(without_response) {}

    bool has_response() const { return outcome == CallOutcome::response; }
    bool not_sent() const { return outcome == CallOutcome::not_sent; }
    bool ok() const { return has_response() && status == kHttpOk; }
};

/// The response to an incoming request.
struct HttpResponse {
    RequestId id;
    int status = kHttpOk;
    std::string body;
    /// Value of the Retry-After header; zero: the header is omitted.
    std::chrono::seconds retry_after{0};
};

}  // namespace dunebridge::sansio
