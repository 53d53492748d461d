/// \file
/// Result types of requests to the key-value store. Failures are results too, not exceptions: every
/// caller must handle a store that is unavailable.
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
    refused,        ///< Not executed; the same transaction may succeed later.
    malformed,      ///< Not executed, and a retry cannot succeed: it is too large or invalid.
    lease_expired,  ///< Not executed: the lease of one of its writes has expired.
    /// No conclusive response: the store may have executed the transaction, or may still execute
    /// it. The caller must allow for both until one of the preconditions can no longer hold.
    unknown
};

/// Result of a compare-and-swap transaction.
struct TransactionResult {
    TransactionOutcome outcome = TransactionOutcome::unknown;
    /// Revision of the written keys, if the outcome is `ok`.
    KeyRevision rev;
    /// Keys whose preconditions did not hold, if the outcome is `conflict`.
    std::vector<std::string> conflicting_keys;
};

/// A key with its value and the revision at which it was last written.
struct Entry {
    std::string key;
    std::shared_ptr<wire::Document> document;  ///< Owns the memory that `value` refers to.
    wire::Value value;
    KeyRevision rev;
};

/// Result of reading one key.
struct GetResult {
    bool available = false;      ///< Whether the read succeeded; if not, `entry` is meaningless.
    std::optional<Entry> entry;  ///< Absent if the key does not exist.
};

/// Result of reading several keys.
struct MultiGetResult {
    bool available = false;                ///< Whether all keys could be read.
    std::map<std::string, Entry> entries;  ///< By key; keys that do not exist are absent.
};

/// Result of listing all keys with a prefix.
struct ListResult {
    bool available = false;      ///< Whether all pages could be read.
    std::vector<Entry> entries;  ///< Sorted by key.
    KeyRevision rev;             ///< Revision of the first page; a watch from it misses no change.
};

/// A change to one key, reported by a watch.
struct WatchEvent {
    std::string key;
    bool removed = false;
    wire::Value value;  ///< Nil if removed; valid as long as the document of the WatchResult.
    KeyRevision rev;
};

/// Result of one watch request.
struct WatchResult {
    enum class Kind : std::uint8_t {
        changes,    ///< `events` holds all changes up to `rev`, where the next watch starts.
        compacted,  ///< The store has discarded some of the changes; list the prefix again.
        failed      ///< No usable response; the same watch may be repeated.
    } kind = Kind::failed;
    KeyRevision rev;
    std::vector<WatchEvent> events;
    std::shared_ptr<wire::Document> document;  ///< Owns the memory that the events refer to.
};

/// Result of renewing a lease.
enum class LeaseRenewal : std::uint8_t {
    renewed,
    expired,  ///< The lease and the keys that were bound to it no longer exist.
    unknown   ///< No usable response; the lease may have been renewed.
};

}  // namespace dunebridge::kv
