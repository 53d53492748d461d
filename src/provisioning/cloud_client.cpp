#include "provisioning/cloud_client.hpp"

#include <type_traits>
#include <utility>

namespace dunebridge::provisioning {

using sansio::Destination;
using sansio::HttpResult;
using sansio::LogLevel;

namespace {
constexpr Millis kTimeout{5000};
// The other controllers' share of the cloud's rate is for the machine types.
constexpr double kShare = 0.8;
constexpr const char* kNoCapacity = "no capacity";

// What the decoder makes of the body of a good reply; none if there is no such reply. Bad bodies
// are logged under the event's name.
template <class Decode>
auto read_reply(sansio::Context& port, const HttpResult& reply, const char* bad_event,
                Decode decode) -> std::optional<std::invoke_result_t<Decode, wire::Value>> {
    if (!reply.ok()) return std::nullopt;
    try {
        const auto doc = wire::Document::need(reply.body);
        return decode(doc.root());
    } catch (const wire::DecodeError& e) {
        port.log(LogLevel::error, "event={} error=\"{}\"", bad_event, e.what());
        return std::nullopt;
    }
}
}  // namespace

CloudClient::CloudClient(sansio::Context& port, double requests_per_second)
    : context_(port), budget_(kShare * requests_per_second) {}

bool CloudClient::take_request() {
    if (budget_.take(1, context_.now())) return true;
    context_.request_wake(budget_.ready_at(1, context_.now()));
    return false;
}

void CloudClient::machine_types(
    std::function<void(std::optional<std::vector<wire::MachineType>>)> then) {
    context_.call(
        Destination::cloud, {}, "GET", "/machine_types", {}, kTimeout,
        [this, then = std::move(then)](const HttpResult& reply) {
            then(read_reply(context_, reply, "invalid_machine_types", wire::decode_machine_types));
        });
}

void CloudClient::list_machines(const std::string& after,
                                std::function<void(std::optional<wire::MachineListPage>)> then) {
    auto target = std::string("/rentals?page=500");
    if (!after.empty()) target += "&from=" + after;
    context_.call(
        Destination::cloud, {}, "GET", std::move(target), {}, kTimeout,
        [this, then = std::move(then)](const HttpResult& reply) {
            then(read_reply(context_, reply, "invalid_machine_list", wire::decode_machine_list));
        });
}

void CloudClient::rent(const wire::ScaleOutRequest& request,
                       std::function<void(const ScaleOutResult&)> then) {
    context_.call(
        Destination::cloud, {}, "POST", "/rentals", wire::encode(request), kTimeout,
        [this, then = std::move(then)](const HttpResult& reply) { then(read_rental(reply)); });
}

ScaleOutResult CloudClient::read_rental(const HttpResult& reply) {
    using Outcome = ScaleOutResult::Outcome;
    if (reply.ok()) {
        auto hosts = read_reply(context_, reply, "invalid_scale_out_response", wire::decode_hosts);
        // Machines that a bad answer does not name are found by their reports and the list.
        return {Outcome::granted, hosts ? std::move(*hosts) : std::vector<MachineName>()};
    }
    if (reply.status == 400) return {Outcome::invalid, {}};
    const auto doc = wire::Document::parse(reply.body);
    const bool no_capacity =
        reply.status == 503 && doc && doc->root()["error"].text() == kNoCapacity;
    return {no_capacity ? Outcome::no_capacity : Outcome::unknown, {}};
}

void CloudClient::delete_machines(const std::vector<MachineName>& hosts,
                                  std::function<void(bool)> then) {
    context_.call(Destination::cloud, {}, "POST", "/rentals/delete", wire::encode_hosts(hosts),
                  kTimeout,
                  [then = std::move(then)](const HttpResult& reply) { then(reply.ok()); });
}

}  // namespace dunebridge::provisioning
