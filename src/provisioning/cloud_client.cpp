#include "provisioning/cloud_client.hpp"

#include <type_traits>
#include <utility>

namespace dunebridge::provisioning {

using sansio::Destination;
using sansio::HttpResult;
using sansio::LogLevel;

namespace {
constexpr Millis kRequestTimeout{5000};
// The rest of the cloud's request rate is left for the other controllers, which fetch the machine
// types.
constexpr double kLeaderShare = 0.8;
constexpr const char* kNoCapacity = "no capacity";

// Returns the decoded body of a successful response, or nullopt if the request failed or the body
// is invalid. An invalid body is logged with the event name `error_event`.
template <class Decode>
auto decode_response(sansio::Context& context, const HttpResult& response, const char* error_event,
                     Decode decode) -> std::optional<std::invoke_result_t<Decode, wire::Value>> {
    if (!response.ok()) return std::nullopt;
    try {
        const auto doc = wire::Document::parse_or_throw(response.body);
        return decode(doc.root());
    } catch (const wire::DecodeError& e) {
        context.log(LogLevel::error, "event={} error=\"{}\"", error_event, e.what());
        return std::nullopt;
    }
}
}  // namespace

CloudClient::CloudClient(sansio::Context& context, double requests_per_second)
    : context_(context), request_limiter_(kLeaderShare * requests_per_second) {}

bool CloudClient::try_acquire_request() {
    if (request_limiter_.take(1, context_.now())) return true;
    context_.request_wake(request_limiter_.ready_at(1, context_.now()));
    return false;
}

void CloudClient::list_machine_types(OnMachineTypes on_response) {
    context_.call(Destination::cloud, {}, "GET", "/machine_types", {}, kRequestTimeout,
                  [this, on_response = std::move(on_response)](const HttpResult& response) {
                      on_response(decode_response(context_, response, "invalid_machine_types",
                                                  wire::decode_machine_types));
                  });
}

void CloudClient::list_machines(const std::string& after, OnMachineList on_response) {
    auto target = std::string("/rentals?page=500");
    if (!after.empty()) target += "&from=" + after;
    context_.call(Destination::cloud, {}, "GET", std::move(target), {}, kRequestTimeout,
                  [this, on_response = std::move(on_response)](const HttpResult& response) {
                      on_response(decode_response(context_, response, "invalid_machine_list",
                                                  wire::decode_machine_list));
                  });
}

void CloudClient::provision(const wire::ScaleOutRequest& request, OnScaleOut on_response) {
    context_.call(Destination::cloud, {}, "POST", "/rentals", wire::encode(request),
                  kRequestTimeout,
                  [this, on_response = std::move(on_response)](const HttpResult& response) {
                      on_response(decode_scale_out_result(response));
                  });
}

ScaleOutResult CloudClient::decode_scale_out_result(const HttpResult& response) {
    using Outcome = ScaleOutResult::Outcome;
    if (response.ok()) {
        auto hosts =
            decode_response(context_, response, "invalid_scale_out_response", wire::decode_hosts);
        // If the body is invalid, the granted machines are discovered by their heartbeats and the
        // machine list.
        return {Outcome::granted, hosts ? std::move(*hosts) : std::vector<MachineName>()};
    }
    if (response.status == 400) return {Outcome::invalid, {}};
    const auto doc = wire::Document::parse(response.body);
    const bool no_capacity =
        response.status == 503 && doc && doc->root()["error"].text() == kNoCapacity;
    return {no_capacity ? Outcome::no_capacity : Outcome::unknown, {}};
}

void CloudClient::delete_machines(const std::vector<MachineName>& hosts, OnDeletion on_response) {
    context_.call(Destination::cloud, {}, "POST", "/rentals/delete", wire::encode_hosts(hosts),
                  kRequestTimeout,
                  [on_response = std::move(on_response)](const HttpResult& response) {
                      on_response(response.ok());
                  });
}

}  // namespace dunebridge::provisioning
