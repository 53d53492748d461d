#include "kv/client.hpp"

#include <algorithm>

namespace dunebridge::kv {

using sansio::Destination;
using sansio::HttpResult;
using wire::Document;

namespace {
// A watch whose answer was lost is asked again soon after it should have ended: cancellations and
// submissions are learnt from watches.
constexpr Millis kWatchSlack{2000};
constexpr Millis kLeaseTimeout{2500};
constexpr Millis kRenewalTimeout{1000};
constexpr Millis kListTimeout{3000};
constexpr Millis kProbeAfter{800};
constexpr Millis kProbeTimeout{700};
constexpr std::size_t kMaxPage = 500;
constexpr int kTooManyRequests = 429;
// A page that was refused for the rate is asked for again, so often in one list.
constexpr Millis kPageRetry{100};
constexpr int kMaxPageRefusals = 50;

Entry row_of(wire::Value row, const std::shared_ptr<Document>& document) {
    return {std::string(row["key"].text().value_or("")), document, row["value"],
            KeyRevision(row["key_rev"].count().value_or(0))};
}

TransactionOutcome outcome_of(const HttpResult& reply, wire::Value body) {
    if (reply.outcome == sansio::CallOutcome::no_response) return TransactionOutcome::unknown;
    if (reply.not_sent()) return TransactionOutcome::refused;
    switch (reply.status) {
        case 200:
            return TransactionOutcome::ok;
        case 409:
            return TransactionOutcome::conflict;
        case 400:
            return body["error"].text() == "no such lease" ? TransactionOutcome::lease_expired
                                                           : TransactionOutcome::malformed;
        case 500:
        case 504:
            return TransactionOutcome::unknown;
        default:
            return TransactionOutcome::refused;
    }
}

TransactionResult read_transaction(const HttpResult& reply) {
    const auto doc = Document::parse(reply.body);
    const auto body = doc ? doc->root() : wire::Value();
    TransactionResult result;
    result.outcome = outcome_of(reply, body);
    result.rev = KeyRevision(body["store_rev"].count().value_or(0));
    const auto failed = body["failed"];
    for (std::size_t i = 0; i < failed.size(); ++i) {
        if (const auto key = failed.at(i).text()) result.failed.emplace_back(*key);
    }
    return result;
}

GetResult read_row(const std::string& key, const HttpResult& reply) {
    if (reply.status == 404) return {true, std::nullopt};
    auto doc = reply.ok() ? Document::parse(reply.body) : std::nullopt;
    if (!doc) return {};
    const auto document = std::make_shared<Document>(std::move(*doc));
    const auto root = document->root();
    const auto rev = root["key_rev"].count();
    if (!rev) return {};
    return {true, Entry{key, document, root["value"], KeyRevision(*rev)}};
}

WatchEvent read_change(wire::Value change) {
    const bool removed = change.contains("remove");
    const auto key = change[removed ? "remove" : "set"].text().value_or("");
    return {std::string(key), removed, change["value"],
            KeyRevision(change["key_rev"].count().value_or(0))};
}

WatchResult read_changes(const HttpResult& reply) {
    WatchResult result;
    if (reply.status == 410) result.kind = WatchResult::Kind::compacted;
    auto doc = reply.ok() ? Document::parse(reply.body) : std::nullopt;
    if (!doc) return result;
    result.document = std::make_shared<Document>(std::move(*doc));
    const auto root = result.document->root();
    if (const auto rev = root["store_rev"].count()) {
        result.kind = WatchResult::Kind::changes;
        result.rev = KeyRevision(*rev);
    }
    const auto changes = root["news"];
    for (std::size_t i = 0; i < changes.size(); ++i) {
        result.events.push_back(read_change(changes.at(i)));
    }
    return result;
}

LeaseRenewal read_renewal(const HttpResult& reply) {
    if (reply.ok()) return LeaseRenewal::renewed;
    return reply.status == 404 ? LeaseRenewal::expired : LeaseRenewal::unknown;
}
}  // namespace

KvClient::KvClient(sansio::Context& port, const config::Config& config)
    : context_(port), config_(config) {}

Millis KvClient::time_since_response() const {
    return reachable_ ? Millis(0) : context_.now() - last_good_;
}

void KvClient::call(std::string method, std::string target, std::string body, Millis timeout,
                    sansio::Context::Continuation then) {
    const std::string what = target;
    context_.call(Destination::state, {}, std::move(method), std::move(target), std::move(body),
                  timeout, [this, what, then = std::move(then)](const HttpResult& reply) {
                      const bool good = reply.answered() && reply.status != 503;
                      if (good || reachable_) last_good_ = context_.now();
                      last_answer_ = context_.now();
                      reachable_ = good;
                      if (!good) {
                          context_.log(sansio::LogLevel::debug,
                                       "event=kv_request_failed status={} target={}", reply.status,
                                       what);
                      }
                      then(reply);
                  });
}

void KvClient::probe_if_idle() {
    // A node that seldom calls would learn from its users' waiting that it is cut off.
    const auto due = last_answer_ + kProbeAfter;
    if (probing_ || context_.now() < due) {
        if (!probing_) context_.request_wake(due);
        return;
    }
    probing_ = true;
    get("term", kProbeTimeout, [this](const GetResult&) { probing_ = false; });
}

void KvClient::compare_and_swap(const std::vector<wire::Precondition>& preconditions,
                                const std::vector<wire::Write>& writes, Millis timeout,
                                std::function<void(const TransactionResult&)> then) {
    call("POST", "/multi", wire::encode_transaction(preconditions, writes), timeout,
         [then = std::move(then)](const HttpResult& reply) { then(read_transaction(reply)); });
}

void KvClient::get(const std::string& key, Millis timeout,
                   std::function<void(const GetResult&)> then) {
    call("GET", "/kv/" + key, {}, timeout,
         [then = std::move(then), key](const HttpResult& reply) { then(read_row(key, reply)); });
}

// ---- many keys ----

struct KvClient::ManyRead {
    std::string prefix;
    std::vector<std::string> names;  // sorted
    std::size_t next = 0;            // the first that is not decided yet
    Millis timeout{};
    MultiGetResult result;
    std::function<void(const MultiGetResult&)> then;

    std::size_t left() const { return names.size() - next; }
    std::string key(std::size_t i) const { return prefix + names[i]; }
};

void KvClient::get_each(const std::string& prefix, std::vector<std::string> names, Millis timeout,
                        std::function<void(const MultiGetResult&)> then) {
    const auto read = std::make_shared<ManyRead>();
    std::sort(names.begin(), names.end());
    *read = {prefix, std::move(names), 0, timeout, {}, std::move(then)};
    read_many(read);
}

void KvClient::read_many(const std::shared_ptr<ManyRead>& read) {
    if (read->left() == 0) {
        read->result.available = true;
        read->then(read->result);
        return;
    }
    if (read->left() == 1) {
        read_one(read);
        return;
    }
    // Listings begin after a key: the greatest that sorts before the next name.
    auto before = read->key(read->next);
    before.back() = static_cast<char>(before.back() - 1);
    before += '~';
    const auto page = std::min(kMaxPage, 2 * read->left());
    const auto target =
        "/kv?starts=" + read->prefix + "&page=" + std::to_string(page) + "&from=" + before;
    call("GET", target, {}, read->timeout,
         [this, read](const HttpResult& reply) { take_page(read, reply); });
}

void KvClient::read_one(const std::shared_ptr<ManyRead>& read) {
    get(read->key(read->next), read->timeout, [this, read](const GetResult& result) {
        if (!result.available) {
            read->then(MultiGetResult{});
            return;
        }
        if (result.entry) read->result.entries.emplace(result.entry->key, *result.entry);
        ++read->next;
        read_many(read);
    });
}

void KvClient::take_page(const std::shared_ptr<ManyRead>& read, const HttpResult& reply) {
    auto page = reply.ok() ? Document::parse(reply.body) : std::nullopt;
    if (!page || !page->root()["rows"].is_list()) {
        read->then(MultiGetResult{});
        return;
    }
    const auto document = std::make_shared<Document>(std::move(*page));
    const auto rows = document->root()["rows"];
    for (std::size_t i = 0; i < rows.size(); ++i) {
        auto row = row_of(rows.at(i), document);
        while (read->left() > 0 && read->key(read->next) < row.key) ++read->next;
        if (read->left() == 0) break;
        if (read->key(read->next) != row.key) continue;
        ++read->next;
        read->result.entries.emplace(row.key, std::move(row));
    }
    const bool more = document->root()["has_next"].boolean().value_or(false);
    if (!more || rows.size() == 0) read->next = read->names.size();
    read_many(read);
}

// ---- whole prefixes ----

void KvClient::list(const std::string& prefix, std::function<void(const ListResult&)> then) {
    list_page(prefix, {}, std::make_shared<ListResult>(), std::move(then));
}

void KvClient::list_page(const std::string& prefix, const std::string& from,
                         const std::shared_ptr<ListResult>& so_far,
                         std::function<void(const ListResult&)> then) {
    std::string target = "/kv?starts=" + prefix + "&page=500";
    if (!from.empty()) target += "&from=" + from;
    call("GET", target, {}, kListTimeout,
         [this, prefix, from, so_far, first = from.empty(),
          then = std::move(then)](const HttpResult& reply) {
             // Over its rate: the pages read so far are as good as before.
             if (reply.status == kTooManyRequests && ++so_far->refusals <= kMaxPageRefusals) {
                 context_.after(
                     kPageRetry + context_.jitter(kPageRetry),
                     [this, prefix, from, so_far, then] { list_page(prefix, from, so_far, then); });
                 return;
             }
             auto doc = reply.ok() ? Document::parse(reply.body) : std::nullopt;
             if (!doc || !doc->root()["rows"].is_list()) {
                 then(ListResult{});
                 return;
             }
             const auto document = std::make_shared<Document>(std::move(*doc));
             const auto root = document->root();
             if (first) so_far->rev = KeyRevision(root["store_rev"].count().value_or(0));
             const auto rows = root["rows"];
             for (std::size_t i = 0; i < rows.size(); ++i) {
                 so_far->entries.push_back(row_of(rows.at(i), document));
             }
             if (root["has_next"].boolean().value_or(false) && rows.size() > 0) {
                 list_page(prefix, so_far->entries.back().key, so_far, then);
                 return;
             }
             so_far->available = true;
             then(*so_far);
         });
}

void KvClient::watch(const std::string& prefix, KeyRevision from, Millis wait,
                     std::function<void(const WatchResult&)> then) {
    const auto target = "/watch?starts=" + prefix + "&from=" + std::to_string(from.get()) +
                        "&wait_ms=" + std::to_string(wait.count());
    // Open watches stay open during an outage, so a late answer says nothing about reachability.
    context_.call(Destination::state, {}, "GET", target, {}, wait + kWatchSlack,
                  [then = std::move(then)](const HttpResult& reply) { then(read_changes(reply)); });
}

void KvClient::create_lease(Millis ttl, std::function<void(std::optional<LeaseId>)> then) {
    call("POST", "/leases",
         wire::Writer().map(1).text("ttl_ms").count(static_cast<std::uint64_t>(ttl.count())).take(),
         kLeaseTimeout, [then = std::move(then)](const HttpResult& reply) {
             std::optional<LeaseId> lease;
             if (reply.ok()) {
                 const auto doc = Document::parse(reply.body);
                 if (const auto id = doc ? doc->root()["tenancy"].count() : std::nullopt) {
                     lease = LeaseId(*id);
                 }
             }
             then(lease);
         });
}

void KvClient::renew_lease(LeaseId lease, std::function<void(LeaseRenewal)> then) {
    call("POST", "/leases/" + std::to_string(lease.get()) + "/touch", {}, kRenewalTimeout,
         [then = std::move(then)](const HttpResult& reply) { then(read_renewal(reply)); });
}

}  // namespace dunebridge::kv
