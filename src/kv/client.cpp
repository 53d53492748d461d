#include "kv/client.hpp"

#include <cstdint>
#include <utility>

#include "kv/multi_get.hpp"
#include "kv/paged_list.hpp"
#include "kv/response_decoding.hpp"

namespace dunebridge::kv {

using sansio::HttpResult;

namespace {
// A watch counts as failed this long after the end of its wait. The time is short because watches
// report cancellations and submissions: a watch whose response was lost must be repeated soon.
constexpr Millis kWatchTimeoutMargin{2000};
constexpr Millis kLeaseTimeout{2500};
constexpr Millis kRenewalTimeout{1000};

std::string encode_lease_request(Millis ttl) {
    const auto ttl_ms = static_cast<std::uint64_t>(ttl.count());
    return wire::Writer().map(1).text("ttl_ms").count(ttl_ms).take();
}
}  // namespace

KvClient::KvClient(sansio::Context& context, const config::Config& config)
    : connection_(context), config_(config) {}

void KvClient::compare_and_swap(const std::vector<wire::Precondition>& preconditions,
                                const std::vector<wire::Write>& writes, Millis timeout,
                                OnTransaction then) {
    connection_.call("POST", "/multi", wire::encode_transaction(preconditions, writes), timeout,
                     [then = std::move(then)](const HttpResult& response) {
                         then(decode_transaction_result(response));
                     });
}

void KvClient::get(const std::string& key, Millis timeout, OnGet then) {
    connection_.call("GET", "/kv/" + key, {}, timeout,
                     [then = std::move(then), key](const HttpResult& response) {
                         then(decode_get_result(key, response));
                     });
}

void KvClient::multi_get(const std::string& prefix, std::vector<std::string> names, Millis timeout,
                         OnMultiGet then) {
    MultiGet::start(connection_, prefix, std::move(names), timeout, std::move(then));
}

void KvClient::list(const std::string& prefix, OnList then) {
    PagedList::start(connection_, prefix, std::move(then));
}

void KvClient::watch(const std::string& prefix, KeyRevision from, Millis wait, OnWatch then) {
    auto target = "/watch?starts=" + prefix + "&from=" + std::to_string(from.get()) +
                  "&wait_ms=" + std::to_string(wait.count());
    connection_.long_poll(std::move(target), wait + kWatchTimeoutMargin,
                          [then = std::move(then)](const HttpResult& response) {
                              then(decode_watch_result(response));
                          });
}

void KvClient::create_lease(Millis ttl, OnLeaseCreated then) {
    connection_.call("POST", "/leases", encode_lease_request(ttl), kLeaseTimeout,
                     [then = std::move(then)](const HttpResult& response) {
                         then(decode_created_lease(response));
                     });
}

void KvClient::renew_lease(LeaseId lease, OnLeaseRenewal then) {
    connection_.call("POST", "/leases/" + std::to_string(lease.get()) + "/touch", {},
                     kRenewalTimeout, [then = std::move(then)](const HttpResult& response) {
                         then(decode_lease_renewal(response));
                     });
}

}  // namespace dunebridge::kv
