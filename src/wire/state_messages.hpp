/// \file
/// Transactions of the key-value store: a compare-and-swap over several keys.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/types.hpp"
#include "wire/codec.hpp"

namespace dunebridge::wire {

/// Holds while the key is at the given revision.
struct Precondition {
    std::string key;
    KeyRevision rev;  ///< 0: the key must not exist
};

/// One change that a transaction makes if all of its preconditions hold.
struct Write {
    std::string key;
    std::optional<std::string> value;  ///< MessagePack; absent: the key is removed
    std::optional<LeaseId> lease;      ///< the key is removed when this lease expires
};

/// Body of a transaction request.
std::string encode_transaction(const std::vector<Precondition>& preconditions,
                               const std::vector<Write>& writes);

}  // namespace dunebridge::wire
