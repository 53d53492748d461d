#include "kv/multi_get.hpp"

#include <algorithm>
#include <utility>

#include "kv/response_decoding.hpp"

namespace dunebridge::kv {

using sansio::HttpResult;

MultiGet::MultiGet(KvConnection& connection, std::string prefix, std::vector<std::string> names,
                   Millis timeout, OnRead on_read)
    : connection_(connection),
      prefix_(std::move(prefix)),
      names_(std::move(names)),
      timeout_(timeout),
      on_read_(std::move(on_read)) {
    std::sort(names_.begin(), names_.end());
}

void MultiGet::start(KvConnection& connection, std::string prefix, std::vector<std::string> names,
                     Millis timeout, OnRead on_read) {
    const std::shared_ptr<MultiGet> operation(
        new MultiGet(connection, std::move(prefix), std::move(names), timeout, std::move(on_read)));
    operation->request_next();
}

void MultiGet::request_next() {
    if (remaining() == 0) {
        result_.available = true;
        on_read_(result_);
    } else if (remaining() == 1) {
        request_single_key();
    } else {
        request_page();
    }
}

void MultiGet::request_page() {
    // A listing begins after the key in `from`. The key built here sorts before the next requested
    // key, whose last character is a digit, and after the keys in which a smaller character
    // replaces that digit.
    auto start_after = next_key();
    start_after.back() = static_cast<char>(start_after.back() - 1);
    start_after += '~';
    // Twice the number of remaining keys, because other keys may lie between them.
    const auto page_size = std::min(kMaxListPageSize, 2 * remaining());
    auto target =
        "/kv?starts=" + prefix_ + "&page=" + std::to_string(page_size) + "&from=" + start_after;
    connection_.call(
        "GET", std::move(target), {}, timeout_,
        [self = shared_from_this()](const HttpResult& response) { self->handle_page(response); });
}

void MultiGet::handle_page(const HttpResult& response) {
    auto page = decode_list_page(response);
    if (!page) {
        on_read_(MultiGetResult{});
        return;
    }
    for (auto& entry : page->entries) {
        // The listing is sorted, so requested keys that sort before this one do not exist.
        while (remaining() > 0 && next_key() < entry.key) ++next_;
        if (remaining() == 0) break;
        if (next_key() != entry.key) continue;
        ++next_;
        const auto key = entry.key;
        result_.entries.emplace(key, std::move(entry));
    }
    if (!page->has_more) next_ = names_.size();
    request_next();
}

void MultiGet::request_single_key() {
    const auto key = next_key();
    connection_.call("GET", "/kv/" + key, {}, timeout_,
                     [self = shared_from_this(), key](const HttpResult& response) {
                         self->handle_single_key(key, response);
                     });
}

void MultiGet::handle_single_key(const std::string& key, const HttpResult& response) {
    const auto single = decode_get_result(key, response);
    if (!single.available) {
        on_read_(MultiGetResult{});
        return;
    }
    if (single.entry) result_.entries.emplace(key, *single.entry);
    ++next_;
    request_next();
}

}  // namespace dunebridge::kv
