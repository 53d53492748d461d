/// \file
/// The value of the leader key, and the names of the keys that an election uses.
#pragma once

#include <string>

#include "base/types.hpp"
#include "wire/codec.hpp"

namespace dunebridge::coordination {

/// Held by the leader, bound to its lease: it is removed when the leader stops renewing it.
inline constexpr const char* kLeaderKey = "lead";
/// The latest term. Not bound to a lease, so that terms only grow.
inline constexpr const char* kTermKey = "term";

/// Who leads in which term, as the leader key says it.
struct LeaderRecord {
    ControllerName node;
    /// Identifies the process: a controller that has been restarted is another incarnation and must
    /// not take its predecessor's key for its own.
    std::string incarnation;
    Term term;
};

std::string encode(const LeaderRecord& record);
/// Missing fields are left empty; such a record is nobody's own.
LeaderRecord decode_leader_record(wire::Value value);

}  // namespace dunebridge::coordination
