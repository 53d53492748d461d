/// \file
/// Decodes the key-value store's responses into typed results. Invalid responses do not throw: they
/// give the result that stands for a failure.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "base/types.hpp"
#include "kv/results.hpp"
#include "sansio/context.hpp"

namespace dunebridge::kv {

/// Maximum number of entries requested in one page of a listing.
inline constexpr std::size_t kMaxListPageSize = 500;

/// One page of a listing.
struct ListPage {
    std::vector<Entry> entries;
    KeyRevision rev;        ///< Revision of the store at which the page was read.
    bool has_more = false;  ///< Whether another page follows.
};

/// Decodes the response to a transaction.
TransactionResult decode_transaction_result(const sansio::HttpResult& response);
/// Decodes the response to a read of one key. The response does not contain the key, so the caller
/// passes it.
GetResult decode_get_result(const std::string& key, const sansio::HttpResult& response);
/// Decodes one page of a listing; nullopt if the response is not a valid page.
std::optional<ListPage> decode_list_page(const sansio::HttpResult& response);
/// Decodes the response to a watch.
WatchResult decode_watch_result(const sansio::HttpResult& response);
/// Returns the lease that was created; nullopt if the response does not name one.
std::optional<LeaseId> decode_created_lease(const sansio::HttpResult& response);
/// Decodes the response to a lease renewal.
LeaseRenewal decode_lease_renewal(const sansio::HttpResult& response);

}  // namespace dunebridge::kv
