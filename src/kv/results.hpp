/// \file
/// Results of requests to the key-value store, as types. Whoever makes a request handles every
/// result: a store that is unavailable is an ordinary result, not an exception.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/types.hpp"
#include "wire/codec.hpp"

namespace dunebridge::kv {

/// How a compare-and-swap transaction ended.
enum class TransactionOutcome : std::uint8_t {
    ok,             ///< All writes were applied.
    conflict,       ///< A precondition did not hold; nothing was written.
    refused,        ///< Certainly not executed; the same transaction may succeed later.
    malformed,      ///< Certainly not executed, nor ever will be: it is too large, or invalid.
    lease_expired,  ///< Certainly not executed: the lease of one of its writes has expired.
    /// No conclusive response: the store may have executed it, or may yet do so. The caller must
    /// not assume either until a precondition of it can no longer hold.
    unknown
};

/// Result of a compare-and-swap transaction.
struct TransactionResult {
    TransactionOutcome outcome = TransactionOutcome::unknown;
    KeyRevision rev;  ///< Of TransactionOutcome::ok: revision of the keys written.
    std::vector<std::string>
        conflicting_keys;  ///< Of TransactionOutcome::conflict: keys that did not match.
};

/// A key with its value and the revision at which it was last written.
struct Entry {
    std::string key;
    std::shared_ptr<wire::Document> document;  ///< Owns the memory to which `value` refers.
    wire::Value value;
    KeyRevision rev;
};

/// Result of reading one key.
struct GetResult {
    bool available = false;      ///< Whether the store responded; if not, `entry` says nothing.
    std::optional<Entry> entry;  ///< Absent if the key does not exist.
};

/// Result of reading several keys.
struct MultiGetResult {
    bool available = false;                ///< Whether all keys could be read.
    std::map<std::string, Entry> entries;  ///< By key; keys that do not exist are absent.
};

/// Result of listing a prefix.
struct ListResult {
    bool available = false;      ///< Whether all pages could be read.
    std::vector<Entry> entries;  ///< In order of key.
    KeyRevision rev;             ///< Of the first page: a watch from here misses no change.
};

/// A change of one key, seen by a watch.
struct WatchEvent {
    std::string key;
    bool removed = false;
    wire::Value value;  ///< Valid as long as the WatchResult's document; absent if removed.
    KeyRevision rev;
};

/// Result of one watch request.
struct WatchResult {
    enum class Kind : std::uint8_t {
        changes,    ///< `events` holds all changes up to `rev`, the start of the next watch.
        compacted,  ///< The store has dropped changes since the start: read the prefix again.
        failed      ///< No usable response; the same watch may be tried again.
    } kind = Kind::failed;
    KeyRevision rev;
    std::vector<WatchEvent> events;
    std::shared_ptr<wire::Document> document;  ///< Owns the memory to which the events refer.
};

/// Result of renewing a lease.
enum class LeaseRenewal : std::uint8_t {
    renewed,
    expired,  ///< The lease does not exist any more, nor do the keys that were bound to it.
    unknown   ///< No usable response: it may have been renewed.
};

}  // namespace dunebridge::kv
