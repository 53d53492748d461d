/// \file
/// Lists all keys with a prefix, page by page.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "kv/connection.hpp"
#include "kv/results.hpp"

namespace dunebridge::kv {

/// A listing that is in progress. The callbacks of its pending requests own it.
class PagedList : public std::enable_shared_from_this<PagedList> {
  public:
    /// Called once, when the last page has been read or reading a page has failed.
    using OnListed = std::function<void(const ListResult&)>;

    /// Lists all keys with the prefix. The connection must outlive the listing.
    static void start(KvConnection& connection, std::string prefix, OnListed on_listed);

  private:
    PagedList(KvConnection& connection, std::string prefix, OnListed on_listed);

    void request_page();
    void handle_page(const sansio::HttpResult& response);

    KvConnection& connection_;
    std::string prefix_;
    OnListed on_listed_;
    std::string last_key_;  ///< The next page begins after this key; empty before the first page.
    int throttled_responses_ = 0;  ///< Number of responses with status 429 in this listing.
    ListResult result_;
};

}  // namespace dunebridge::kv
