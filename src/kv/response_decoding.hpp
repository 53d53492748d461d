/// \file
/// Decodes responses of the key-value store into typed results.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "base/types.hpp"
#include "kv/results.hpp"
#include "sansio/context.hpp"

namespace dunebridge::kv {

/// The most entries that are requested in one page of a listing.
inline constexpr std::size_t kMaxListPageSize = 500;

/// One page of a listing.
struct ListPage {
    std::vector<Entry> entries;
    KeyRevision rev;        ///< Revision of the store when the page was read.
    bool has_more = false;  ///< Whether another page follows.
};

TransactionResult decode_transaction_result(const sansio::HttpResult& response);
/// Of a read of one key, which the response does not repeat.
GetResult decode_get_result(const std::string& key, const sansio::HttpResult& response);
/// Nothing if the response is not a page.
std::optional<ListPage> decode_list_page(const sansio::HttpResult& response);
WatchResult decode_watch_result(const sansio::HttpResult& response);
/// The lease that was created; nothing if the response does not name one.
std::optional<LeaseId> decode_created_lease(const sansio::HttpResult& response);
LeaseRenewal decode_lease_renewal(const sansio::HttpResult& response);

}  // namespace dunebridge::kv
