/// \file
/// Keys of the records in the key-value store. They are stored data, so they must never change.
#pragma once

#include <string>
#include <string_view>

#include "base/types.hpp"

namespace dunebridge::kv {

/// job/<id>: a job that is neither done nor cancelled; see JobRecord.
inline constexpr const char* kJobPrefix = "job/";
/// end/<id>: a job that is done or cancelled; see TerminalRecord.
inline constexpr const char* kTerminalPrefix = "end/";
/// prog/...: the machines on which tasks of a job run, and the tasks that are done.
inline constexpr const char* kProgressPrefix = "prog/";
/// rent/<idempotency key>: a request for cloud machines.
inline constexpr const char* kScaleOutPrefix = "rent/";
/// dep/<id>/<n>: the dependencies of a job, if they do not fit in its own record; see
/// DependencyPart.
inline constexpr const char* kDependencyPrefix = "dep/";
/// Key of the record that shows that records of a newer format may exist. It sorts before every
/// scale-out record, so a version that does not know the marker fails to decode it as a scale-out
/// record and stops loading there.
inline constexpr const char* kFormatMarkerKey = "rent/!format";

/// Returns the rest of a key after the prefix, with which the key must begin.
inline std::string without_prefix(const std::string& key, std::string_view prefix) {
    return key.substr(prefix.size());
}

/// Returns the key of the job's JobRecord.
inline std::string job_key(const JobId& id) { return kJobPrefix + id.get(); }
/// Returns the key of the job's TerminalRecord.
inline std::string terminal_key(const JobId& id) { return kTerminalPrefix + id.get(); }
/// Returns the prefix of the keys of the job's dependency records.
inline std::string dependency_prefix(const JobId& id) { return kDependencyPrefix + id.get() + "/"; }
/// Returns the key of the job's dependency record number `part`, counted from 0.
inline std::string dependency_key(const JobId& id, std::size_t part) {
    return dependency_prefix(id) + std::to_string(part);
}

}  // namespace dunebridge::kv
