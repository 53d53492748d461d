// Transactions of the state service.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/types.hpp"
#include "wire/codec.hpp"

namespace dunebridge::wire {

struct Precondition {
    std::string key;
    KeyRevision rev;  // 0: the key does not exist
};
struct Write {
    std::string key;
    std::optional<std::string> value;  // packed; none: remove
    std::optional<LeaseId> lease;
};
std::string encode_transaction(const std::vector<Precondition>& preconditions,
                               const std::vector<Write>& writes);

}  // namespace dunebridge::wire
