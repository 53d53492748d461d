#include "kv/response_decoding.hpp"

#include <memory>
#include <string_view>
#include <utility>

namespace dunebridge::kv {

using sansio::HttpResult;
using wire::Document;

namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kGone = 410;
constexpr int kInternalError = 500;
constexpr int kGatewayTimeout = 504;
// Error text defined by the protocol. It marks the only case in which status 400 does not mean that
// the request is invalid.
constexpr std::string_view kNoSuchLease = "no such lease";

TransactionOutcome transaction_outcome(const HttpResult& response, wire::Value body) {
    if (response.outcome == sansio::CallOutcome::no_response) return TransactionOutcome::unknown;
    if (response.not_sent()) return TransactionOutcome::refused;
    switch (response.status) {
        case kOk:
            return TransactionOutcome::ok;
        case kConflict:
            return TransactionOutcome::conflict;
        case kBadRequest:
            return body["error"].text() == kNoSuchLease ? TransactionOutcome::lease_expired
                                                        : TransactionOutcome::malformed;
        // The store may have executed the transaction before the failure, or may still execute it.
        case kInternalError:
        case kGatewayTimeout:
            return TransactionOutcome::unknown;
        default:
            return TransactionOutcome::refused;
    }
}

// Returns the decoded body if the status is 200 and the body is MessagePack; null otherwise.
std::shared_ptr<Document> successful_body(const HttpResult& response) {
    auto document = response.ok() ? Document::parse(response.body) : std::nullopt;
    return document ? std::make_shared<Document>(std::move(*document)) : nullptr;
}

Entry decode_entry(wire::Value row, const std::shared_ptr<Document>& document) {
    return {std::string(row["key"].text().value_or("")), document, row["value"],
            KeyRevision(row["key_rev"].count().value_or(0))};
}

WatchEvent decode_watch_event(wire::Value change) {
    const bool removed = change.contains("remove");
    const auto key = change[removed ? "remove" : "set"].text().value_or("");
    return {std::string(key), removed, change["value"],
            KeyRevision(change["key_rev"].count().value_or(0))};
}

}  // namespace

TransactionResult decode_transaction_result(const HttpResult& response) {
    const auto document = Document::parse(response.body);
    const auto body = document ? document->root() : wire::Value();
    TransactionResult result;
    result.outcome = transaction_outcome(response, body);
    result.rev = KeyRevision(body["store_rev"].count().value_or(0));
    const auto failed = body["failed"];
    for (std::size_t i = 0; i < failed.size(); ++i) {
        if (const auto key = failed.at(i).text()) result.conflicting_keys.emplace_back(*key);
    }
    return result;
}

GetResult decode_get_result(const std::string& key, const HttpResult& response) {
    if (response.status == kNotFound) return {true, std::nullopt};
    const auto document = successful_body(response);
    if (!document) return {};
    const auto root = document->root();
    const auto revision = root["key_rev"].count();
    if (!revision) return {};
    return {true, Entry{key, document, root["value"], KeyRevision(*revision)}};
}

std::optional<ListPage> decode_list_page(const HttpResult& response) {
    const auto document = successful_body(response);
    if (!document || !document->root()["rows"].is_list()) return std::nullopt;
    const auto root = document->root();
    const auto rows = root["rows"];
    ListPage page;
    page.rev = KeyRevision(root["store_rev"].count().value_or(0));
    page.has_more = root["has_next"].boolean().value_or(false) && rows.size() > 0;
    for (std::size_t i = 0; i < rows.size(); ++i) {
        page.entries.push_back(decode_entry(rows.at(i), document));
    }
    return page;
}

WatchResult decode_watch_result(const HttpResult& response) {
    WatchResult result;
    if (response.status == kGone) result.kind = WatchResult::Kind::compacted;
    result.document = successful_body(response);
    if (!result.document) return result;
    const auto root = result.document->root();
    if (const auto revision = root["store_rev"].count()) {
        result.kind = WatchResult::Kind::changes;
        result.rev = KeyRevision(*revision);
    }
    const auto changes = root["news"];
    for (std::size_t i = 0; i < changes.size(); ++i) {
        result.events.push_back(decode_watch_event(changes.at(i)));
    }
    return result;
}

std::optional<LeaseId> decode_created_lease(const HttpResult& response) {
    const auto document = successful_body(response);
    const auto id = document ? document->root()["tenancy"].count() : std::nullopt;
    if (!id) return std::nullopt;
    return LeaseId(*id);
}

LeaseRenewal decode_lease_renewal(const HttpResult& response) {
    if (response.status == kOk) return LeaseRenewal::renewed;
    return response.status == kNotFound ? LeaseRenewal::expired : LeaseRenewal::unknown;
}

}  // namespace dunebridge::kv
