/// \file
/// Keys of the records in the key-value store. Their names are stored data and never change.
#pragma once

#include <string>
#include <string_view>

#include "base/types.hpp"

namespace dunebridge::kv {

/// job/<id>: an open job, see JobRecord.
inline constexpr const char* kJobPrefix = "job/";
/// end/<id>: a done or cancelled job, see TerminalRecord.
inline constexpr const char* kTerminalPrefix = "end/";
/// prog/...: which tasks of a job run where, and which are done.
inline constexpr const char* kProgressPrefix = "prog/";
/// rent/...: requests for cloud machines.
inline constexpr const char* kScaleOutPrefix = "rent/";
/// dep/<id>/<n>: what a job depends on, where that does not fit its own record.
inline constexpr const char* kDependencyPrefix = "dep/";
/// Marks that there may be records of the newer format. It sorts before every other scale-out
/// record, and a version that does not know it fails to decode it and stops loading there.
inline constexpr const char* kFormatMarkerKey = "rent/!format";

/// The rest of a key that begins with the prefix.
inline std::string without_prefix(const std::string& key, std::string_view prefix) {
    return key.substr(prefix.size());
}

inline std::string job_key(const JobId& id) { return kJobPrefix + id.get(); }
inline std::string terminal_key(const JobId& id) { return kTerminalPrefix + id.get(); }
/// Prefix of the records that hold what the job depends on.
inline std::string dependency_prefix(const JobId& id) { return kDependencyPrefix + id.get() + "/"; }
inline std::string dependency_key(const JobId& id, std::size_t part) {
    return dependency_prefix(id) + std::to_string(part);
}

}  // namespace dunebridge::kv
