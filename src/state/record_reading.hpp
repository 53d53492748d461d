/// \file
/// Functions shared by ClusterStateLoader and ClusterStateFollower: handling of records that cannot
/// be decoded, and reading of dependency records.
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

/// A record that this version cannot decode.
struct InvalidRecord {
    std::string key;
    std::string reason;
};

/// Calls `apply(const kv::Entry&)` for each entry. Stops at the first one for which that throws
/// wire::DecodeError, and returns it; the entries before it have been applied. Returns nothing if
/// all were applied.
template <class Apply>
std::optional<InvalidRecord> apply_entries(const std::vector<kv::Entry>& entries, Apply apply) {
    for (const auto& entry : entries) {
        try {
            apply(entry);
        } catch (const wire::DecodeError& error) {
            return InvalidRecord{entry.key, error.what()};
        }
    }
    return std::nullopt;
}

void log_invalid_record(sansio::Context& context, const InvalidRecord& record);

/// Logs the record and gives up leadership for a while. Without the record the leader would lose a
/// job or a task; a node that knows the record's format can take over.
void resign_over_invalid_record(sansio::Context& context, coordination::Election& election,
                                const InvalidRecord& record);

/// Decodes one of the job's dependency records and adds the dependencies that the submission named
/// to the job's spec. Throws wire::DecodeError.
void apply_dependency_record(ClusterState& cluster_state, Job& job, const kv::Entry& entry);

}  // namespace dunebridge::state
