/// \file
/// Recognizes HTTP requests by listener, method and path, so that the owner of the state handles
/// typed requests only.
#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "base/types.hpp"
#include "sansio/refusal.hpp"

namespace dunebridge::controller {

/// Where a request came in: `front` serves users, probes and workers, `back` other controllers.
enum class Listener : std::uint8_t { front, back };

/// A request as it was received.
struct Request {
    RequestId id;
    Listener listener = Listener::front;
    std::string method;
    std::string target;
    std::string body;
    bool too_large = false;  ///< Its header or body was over the limit and is not here.
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
/// A worker's heartbeat, or one that another controller relays.
struct WorkerHeartbeatRequest {
    std::string body;
    bool relayed = false;
};
/// A health probe asks whether this node should get requests.
struct ReadinessProbe {};
/// Another controller's heartbeat.
struct PeerHeartbeatRequest {
    std::string body;
};

/// What a request asks for; a refusal if it is none that this node serves.
using RoutedRequest = std::variant<SubmitJob, PollJob, CancelJob, WorkerHeartbeatRequest,
                                   ReadinessProbe, PeerHeartbeatRequest, sansio::Refusal>;

/// Recognizes a request. Bodies are not decoded; job ids are checked for their form.
RoutedRequest route(Request&& request);

}  // namespace dunebridge::controller
