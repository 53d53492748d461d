/// \file
/// What reading the cluster state and following its changes have in common: rows that cannot be
/// decoded, and dependencies that are kept in records of their own.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "coordination/election.hpp"
#include "kv/client.hpp"
#include "sansio/context.hpp"
#include "state/cluster_state.hpp"
#include "wire/codec.hpp"

namespace dunebridge::state {

/// A record that this version cannot read.
struct InvalidRecord {
    std::string key;
    std::string reason;
};

/// Calls `apply(const kv::Entry&)` for each row. Stops at the first for which that throws
/// wire::DecodeError, and returns it; the rows before it have been applied.
template <class Apply>
std::optional<InvalidRecord> apply_rows(const std::vector<kv::Entry>& rows, Apply apply) {
    for (const auto& row : rows) {
        try {
            apply(row);
        } catch (const wire::DecodeError& error) {
            return InvalidRecord{row.key, error.what()};
        }
    }
    return std::nullopt;
}

void log_invalid_record(sansio::Context& context, const InvalidRecord& record);

/// Gives up leadership for a while: going on without the record would lose a job or a task. A node
/// that knows the format may lead meanwhile.
void resign_over_invalid_record(sansio::Context& context, coordination::Election& election,
                                const InvalidRecord& record);

/// Adds to the job the dependencies that the row of a dependency record names. Throws
/// wire::DecodeError.
void apply_dependency_record(ClusterState& cluster_state, Job& job, const kv::Entry& row);

}  // namespace dunebridge::state
