/// \file
/// Transactions of the key-value store: compare-and-swap over several keys.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/types.hpp"
#include "wire/codec.hpp"

namespace dunebridge::wire {

/// A condition of a transaction: the key must be at the given revision.
struct Precondition {
    std::string key;
    KeyRevision rev;  ///< 0: the key must not exist.
};

/// A write that a transaction applies if all its preconditions hold.
struct Write {
    std::string key;
    std::optional<std::string> value;  ///< MessagePack; absent: remove the key.
    std::optional<LeaseId> lease;      ///< The store removes the key when this lease expires.
};

/// Encodes the body of a transaction request.
std::string encode_transaction(const std::vector<Precondition>& preconditions,
                               const std::vector<Write>& writes);

}  // namespace dunebridge::wire
