#include "kv/paged_list.hpp"

#include <iterator>
#include <utility>

#include "kv/response_decoding.hpp"

namespace dunebridge::kv {

using sansio::HttpResult;

namespace {
constexpr Millis kPageTimeout{3000};
constexpr int kTooManyRequests = 429;
// A page that was refused with status 429 is requested again after a delay between this value and
// twice this value.
constexpr Millis kRetryDelay{100};
// Number of refused pages after which a listing fails.
constexpr int kMaxThrottledResponses = 50;
}  // namespace

PagedList::PagedList(KvConnection& connection, std::string prefix, OnListed on_listed)
    : connection_(connection), prefix_(std::move(prefix)), on_listed_(std::move(on_listed)) {}

void PagedList::start(KvConnection& connection, std::string prefix, OnListed on_listed) {
    const std::shared_ptr<PagedList> list(
        new PagedList(connection, std::move(prefix), std::move(on_listed)));
    list->request_page();
}

void PagedList::request_page() {
    std::string target = "/kv?starts=" + prefix_ + "&page=" + std::to_string(kMaxListPageSize);
    if (!last_key_.empty()) target += "&from=" + last_key_;
    connection_.call(
        "GET", std::move(target), {}, kPageTimeout,
        [self = shared_from_this()](const HttpResult& response) { self->handle_page(response); });
}

void PagedList::handle_page(const HttpResult& response) {
    // The request rate was exceeded. The pages read so far remain valid, so only this one is
    // requested again.
    if (response.status == kTooManyRequests && ++throttled_responses_ <= kMaxThrottledResponses) {
        auto& context = connection_.context();
        context.after(kRetryDelay + context.jitter(kRetryDelay),
                      [self = shared_from_this()] { self->request_page(); });
        return;
    }
    auto page = decode_list_page(response);
    if (!page) {
        on_listed_(ListResult{});
        return;
    }
    if (last_key_.empty()) result_.rev = page->rev;
    result_.entries.insert(result_.entries.end(), std::make_move_iterator(page->entries.begin()),
                           std::make_move_iterator(page->entries.end()));
    if (page->has_more) {
        last_key_ = result_.entries.back().key;
        request_page();
        return;
    }
    result_.available = true;
    on_listed_(result_);
}

}  // namespace dunebridge::kv
