/// \file
/// What the tests of dependencies between jobs share: jobs that wait on others, and jobs that
/// another controller has accepted or ended.
#pragma once

#include <utility>
#include <vector>

#include "kv/keys.hpp"
#include "kv/records.hpp"
#include "sim/controller_harness.hpp"

namespace dunebridge::sim {

/// When another controller accepted or ended a job: milliseconds since the epoch.
inline constexpr std::int64_t kElsewhereAt_ms = 1700000000000;

/// A small job that may start once the dependencies are done.
inline wire::JobSpec dependent_job(int n, std::vector<JobId> dependencies) {
    auto spec = job(n);
    spec.dependencies = std::move(dependencies);
    return spec;
}

/// Another controller accepts a job that fits no machine of the harness, so that it stays open.
inline JobId accepted_elsewhere(ControllerHarness& harness, int n) {
    kv::JobRecord record;
    record.submitted_ms = kElsewhereAt_ms;
    record.spec = job(n);
    record.spec.cores = 500;
    harness.write(kv::job_key(record.spec.id), encode(record).packed);
    return record.spec.id;
}

/// Another controller accepts `count` such jobs, numbered from `first` on.
inline std::vector<JobId> accepted_elsewhere(ControllerHarness& harness, int first, int count) {
    std::vector<JobId> ids;
    for (int n = first; n < first + count; ++n) ids.push_back(accepted_elsewhere(harness, n));
    return ids;
}

/// Another controller writes the terminal record of a job of one task.
inline void end_elsewhere(ControllerHarness& harness, const JobId& id, wire::JobPhase phase) {
    harness.write(kv::terminal_key(id),
                  encode(kv::TerminalRecord{phase, 1, kElsewhereAt_ms}).packed);
}

}  // namespace dunebridge::sim
