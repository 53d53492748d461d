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
/// once, in the controller's event loop, when the response has arrived or the timeout has expired.
/// The client retries only the pages of list() that the store refuses with status 429 (too many
/// requests). It does not limit the request rate: each caller stays within its share of this
/// controller's rate budget.
class KvClient {
  public:
    /// Called with the result of a transaction.
    using OnTransaction = std::function<void(const TransactionResult&)>;
    /// Called with the result of reading one key.
    using OnGet = std::function<void(const GetResult&)>;
    /// Called when all keys have been read, or when a read has failed.
    using OnMultiGet = std::function<void(const MultiGetResult&)>;
    /// Called when the last page has been read, or when reading a page has failed.
    using OnList = std::function<void(const ListResult&)>;
    /// Called when there are changes, when the wait has expired without any, or on failure.
    using OnWatch = std::function<void(const WatchResult&)>;
    /// Called with the new lease, or nullopt if the response does not show that one was created. A
    /// lease may exist even then.
    using OnLeaseCreated = std::function<void(std::optional<LeaseId>)>;
    /// Called with the result of the attempt to renew the lease.
    using OnLeaseRenewal = std::function<void(LeaseRenewal)>;

    /// The context and the configuration must outlive the client.
    KvClient(sansio::Context& context, const config::Config& config);

    /// Applies all writes if all preconditions hold, and none otherwise.
    void compare_and_swap(const std::vector<wire::Precondition>& preconditions,
                          const std::vector<wire::Write>& writes, Millis timeout,
                          OnTransaction then);
    /// Reads one key.
    void get(const std::string& key, Millis timeout, OnGet then);
    /// Reads the keys formed by the prefix and each of the names, with few requests. Each name must
    /// end in a digit. The timeout applies to each request. If there are no names, `then` is called
    /// before this function returns.
    void multi_get(const std::string& prefix, std::vector<std::string> names, Millis timeout,
                   OnMultiGet then);
    /// Reads all keys that begin with the prefix, page by page.
    void list(const std::string& prefix, OnList then);
    /// Waits, at most for `wait`, for changes after the revision `from` to keys that begin with the
    /// prefix.
    void watch(const std::string& prefix, KeyRevision from, Millis wait, OnWatch then);
    /// Creates a lease. The store removes the keys bound to it once it has not been renewed for
    /// `ttl`.
    void create_lease(Millis ttl, OnLeaseCreated then);
    /// Renews a lease for another `ttl`, as given when it was created.
    void renew_lease(LeaseId lease, OnLeaseRenewal then);

    /// Sends a small read if no request has completed for a while, so that reachable() stays up to
    /// date. Must be called in every iteration of the event loop.
    void probe_if_idle() { connection_.probe_if_idle(); }
    /// Whether the latest completed request got a usable response; true before the first result.
    bool reachable() const { return connection_.reachable(); }
    /// Time for which requests have had no usable response; zero while the store is reachable.
    Millis time_since_response() const { return connection_.time_since_response(); }

    /// Returns the maximum number of preconditions that the store accepts in one transaction.
    std::size_t max_preconditions() const { return config_.kv_limits.max_preconditions(); }

  private:
    KvConnection connection_;
    const config::Config& config_;
};

}  // namespace dunebridge::kv
