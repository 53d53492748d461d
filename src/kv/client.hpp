/// \file
/// Client of the consensus-backed key-value store: compare-and-swap transactions, reads, watches
/// and leases.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/types.hpp"
#include "config/config.hpp"
#include "kv/connection.hpp"
#include "kv/results.hpp"
#include "sansio/context.hpp"
#include "wire/messages.hpp"

namespace dunebridge::kv {

/// Client of the key-value store. All requests are asynchronous: each callback is called exactly
/// once, in the controller's event loop, when the response has come or the timeout is over. The
/// client retries nothing but pages that were refused for the request rate; rates are kept by the
/// callers, each with its share of this controller's budget.
class KvClient {
  public:
    /// Called with the result of a transaction.
    using OnTransaction = std::function<void(const TransactionResult&)>;
    /// Called with the result of reading one key.
    using OnGet = std::function<void(const GetResult&)>;
    /// Called when all keys have been read, or one could not be.
    using OnMultiGet = std::function<void(const MultiGetResult&)>;
    /// Called when the whole prefix has been read, or a page could not be.
    using OnList = std::function<void(const ListResult&)>;
    /// Called when there are changes, when the wait is over without any, or on failure.
    using OnWatch = std::function<void(const WatchResult&)>;
    /// Called with the new lease, or nothing if it is not known whether there is one.
    using OnLeaseCreated = std::function<void(std::optional<LeaseId>)>;
    /// Called with what is known of the lease after the attempt to renew it.
    using OnLeaseRenewal = std::function<void(LeaseRenewal)>;

    /// Context and configuration must outlive the client.
    KvClient(sansio::Context& context, const config::Config& config);

    /// Applies all writes if all preconditions hold, and none otherwise.
    void compare_and_swap(const std::vector<wire::Precondition>& preconditions,
                          const std::vector<wire::Write>& writes, Millis timeout,
                          OnTransaction then);
    /// Reads one key.
    void get(const std::string& key, Millis timeout, OnGet then);
    /// Reads the keys that are the prefix followed by one of the names, with few requests. Names
    /// end in a digit. The timeout is that of each request. For no names, `then` is called at once.
    void multi_get(const std::string& prefix, std::vector<std::string> names, Millis timeout,
                   OnMultiGet then);
    /// Reads all keys with a prefix, page after page.
    void list(const std::string& prefix, OnList then);
    /// Waits for changes of keys with a prefix after the revision `from`, at most for `wait`.
    void watch(const std::string& prefix, KeyRevision from, Millis wait, OnWatch then);
    /// Creates a lease: keys bound to it are removed when it has not been renewed for `ttl`.
    void create_lease(Millis ttl, OnLeaseCreated then);
    void renew_lease(LeaseId lease, OnLeaseRenewal then);

    /// Makes a small request if there has been no result for a while, so that reachable() is
    /// recent. To be called at every turn of the event loop.
    void probe_if_idle() { connection_.probe_if_idle(); }
    /// Whether the latest request got a usable response.
    bool reachable() const { return connection_.reachable(); }
    /// For how long requests have gone without a usable response; zero while reachable.
    Millis time_since_response() const { return connection_.time_since_response(); }

    /// The most preconditions that the store takes in one transaction.
    std::size_t max_preconditions() const { return config_.kv_limits.max_preconditions(); }

  private:
    KvConnection connection_;
    const config::Config& config_;
};

}  // namespace dunebridge::kv
