// Names of what is kept in the state service.
#pragma once

#include <string>
#include <string_view>

#include "base/types.hpp"

namespace dunebridge::kv {

inline constexpr const char* kJobPrefix = "job/";
inline constexpr const char* kTerminalPrefix = "end/";
inline constexpr const char* kProgressPrefix = "prog/";
inline constexpr const char* kScaleOutPrefix = "rent/";
// dep/<id>/<n>: what a job waits on, where that does not fit its own record.
inline constexpr const char* kDependencyPrefix = "dep/";
// Once it is there, records of the newer format may be: it sorts before every rental, and a version
// that does not know it stops its load there.
inline constexpr const char* kFormatMark = "rent/!format";

// The rest of a key that begins with the prefix.
inline std::string without_prefix(const std::string& key, std::string_view prefix) {
    return key.substr(prefix.size());
}

inline std::string job_key(const JobId& id) { return kJobPrefix + id.get(); }
inline std::string terminal_key(const JobId& id) { return kTerminalPrefix + id.get(); }
// Prefix of the records that hold what the job waits on.
inline std::string dependency_prefix(const JobId& id) { return kDependencyPrefix + id.get() + "/"; }
inline std::string dependency_key(const JobId& id, std::size_t part) {
    return dependency_prefix(id) + std::to_string(part);
}

}  // namespace dunebridge::kv
