#include "controller/router.hpp"

#include <optional>
#include <string_view>
#include <utility>

#include "wire/messages.hpp"

namespace dunebridge::controller {

using sansio::Refusal;
using sansio::RefusalReason;

namespace {
constexpr std::string_view kGet = "GET";
constexpr std::string_view kPost = "POST";
constexpr std::string_view kReadinessPath = "/ready";
constexpr std::string_view kWorkerHeartbeatPath = "/checkin";
constexpr std::string_view kPeerHeartbeatPath = "/hello";
constexpr std::string_view kJobsPath = "/v1/jobs";
constexpr std::string_view kCancelSuffix = "/abort";

RoutedRequest refused(RefusalReason reason) { return Refusal(reason); }

// `rest` is what follows "/v1/jobs/".
RoutedRequest route_job(const Request& request, std::string_view rest) {
    const auto slash = rest.find('/');
    const auto id = rest.substr(0, slash);
    const bool has_suffix = slash != std::string_view::npos;
    const bool is_cancellation = has_suffix && rest.substr(slash) == kCancelSuffix;
    if (has_suffix && !is_cancellation) return refused(RefusalReason::no_such_path);
    if (request.method != (is_cancellation ? kPost : kGet))
        return refused(RefusalReason::method_not_allowed);
    JobId job{std::string(id)};
    // The id is malformed, so no job can have it.
    if (!wire::valid_job_id(job.get())) return refused(RefusalReason::no_such_job);
    if (is_cancellation) return CancelJob{std::move(job)};
    return PollJob{std::move(job)};
}

RoutedRequest route_front(Request&& request) {
    const std::string_view target = request.target;
    const auto path = target.substr(0, target.find('?'));
    if (path == kReadinessPath) {
        if (request.method != kGet) return refused(RefusalReason::method_not_allowed);
        return ReadinessProbe{};
    }
    if (path == kWorkerHeartbeatPath) {
        if (request.method != kPost) return refused(RefusalReason::method_not_allowed);
        return WorkerHeartbeatRequest{std::move(request.body), false};
    }
    if (path == kJobsPath) {
        if (request.method != kPost) return refused(RefusalReason::method_not_allowed);
        return SubmitJob{std::move(request.body)};
    }
    if (path.starts_with(kJobsPath) && path[kJobsPath.size()] == '/')
        return route_job(request, path.substr(kJobsPath.size() + 1));
    return refused(RefusalReason::no_such_path);
}

RoutedRequest route_back(Request&& request) {
    if (request.method != kPost) return refused(RefusalReason::no_such_path);
    if (request.target == kWorkerHeartbeatPath)
        return WorkerHeartbeatRequest{std::move(request.body), true};
    if (request.target == kPeerHeartbeatPath) return PeerHeartbeatRequest{std::move(request.body)};
    return refused(RefusalReason::no_such_path);
}
}  // namespace

RoutedRequest route(Request&& request) {
    if (request.too_large) return refused(RefusalReason::body_too_large);
    return request.listener == Listener::back ? route_back(std::move(request))
                                              : route_front(std::move(request));
}

}  // namespace dunebridge::controller
