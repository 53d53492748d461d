/// \file
/// Value of the leader key, and the names of the keys that the leader election uses.
#pragma once

#include <string>

#include "base/types.hpp"
#include "wire/codec.hpp"

namespace dunebridge::coordination {

/// Key written by the leader and bound to its lease: it is removed when the lease is no longer
/// renewed and expires.
inline constexpr const char* kLeaderKey = "lead";
/// Key of the latest term. It is not bound to a lease, so that terms never decrease.
inline constexpr const char* kTermKey = "term";

/// Contents of the leader key: the leader and its term.
struct LeaderRecord {
    ControllerName node;
    /// Identifies the process. A restarted controller is a new incarnation and must not treat the
    /// key that its previous process wrote as its own.
    std::string incarnation;
    Term term;
};

/// Returns the record encoded as the value of the leader key.
std::string encode(const LeaderRecord& record);
/// Decodes the value of the leader key. Missing fields are left empty; a record without an
/// incarnation matches no process.
LeaderRecord decode_leader_record(wire::Value value);

}  // namespace dunebridge::coordination
