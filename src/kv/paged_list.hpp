/// \file
/// Lists all keys with a prefix, page after page.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "kv/connection.hpp"
#include "kv/results.hpp"

namespace dunebridge::kv {

/// One listing in progress. It owns itself through the callbacks of its requests.
class PagedList : public std::enable_shared_from_this<PagedList> {
  public:
    /// Called once, when the last page has been read or one could not be.
    using OnListed = std::function<void(const ListResult&)>;

    /// The connection must outlive the listing.
    static void start(KvConnection& connection, std::string prefix, OnListed on_listed);

  private:
    PagedList(KvConnection& connection, std::string prefix, OnListed on_listed);

    void request_page();
    void handle_page(const sansio::HttpResult& response);

    KvConnection& connection_;
    std::string prefix_;
    OnListed on_listed_;
    std::string last_key_;         ///< The next page begins after this key; empty: from the start.
    int throttled_responses_ = 0;  ///< How often a page was refused for the request rate.
    ListResult result_;
};

}  // namespace dunebridge::kv
