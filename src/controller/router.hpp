/// \file
/// Routing of HTTP requests by listener, method and path, so that the controller handles typed
/// requests only.
#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "base/types.hpp"
#include "sansio/refusal.hpp"

namespace dunebridge::controller {

/// Listening socket on which a request was received: `front` serves users, health probes and
/// workers; `back` serves other controllers.
enum class Listener : std::uint8_t { front, back };

/// An HTTP request as it was received.
struct Request {
    RequestId id;
    Listener listener = Listener::front;
    std::string method;
    std::string target;
    std::string body;
    /// The header or body exceeded the limit: the method, target and body may be incomplete.
    bool too_large = false;
};

/// A user submits a job.
struct SubmitJob {
    std::string body;
};
/// A user asks for a job's status.
struct PollJob {
    JobId job;
};
/// A user cancels a job.
struct CancelJob {
    JobId job;
};
/// A worker's heartbeat, received directly or relayed by another controller.
struct WorkerHeartbeatRequest {
    std::string body;
    bool relayed = false;
};
/// A health probe asks whether this controller should receive requests.
struct ReadinessProbe {};
/// Another controller's heartbeat.
struct PeerHeartbeatRequest {
    std::string body;
};

/// A typed request, or the refusal of a request that is not served.
using RoutedRequest = std::variant<SubmitJob, PollJob, CancelJob, WorkerHeartbeatRequest,
                                   ReadinessProbe, PeerHeartbeatRequest, sansio::Refusal>;

/// Returns the typed request. Bodies are not decoded; job ids are checked for their syntax.
RoutedRequest route(Request&& request);

}  // namespace dunebridge::controller
