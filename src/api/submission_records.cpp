#include "api/submission_records.hpp"

#include <algorithm>
#include <iterator>
#include <optional>
#include <utility>

#include "config/record_format.hpp"
#include "kv/keys.hpp"
#include "kv/records.hpp"

namespace dunebridge::api {

using kv::job_key;

namespace {
constexpr std::size_t kOverheadBytes = 200;  // of a write and its preconditions
}  // namespace

std::string why_never_runs(const wire::JobSpec& spec, const config::Config& config,
                           const std::vector<wire::MachineType>& types) {
    const auto* team = config.find_team(spec.team);
    if (!team) return "unknown team";
    if (team->cpus_max > 0 && spec.cores > team->cpus_max) return "over the team's limit";
    if (team->gpus_max > 0 && spec.accelerators > team->gpus_max) return "over the team's limit";
    const bool fits = std::any_of(types.begin(), types.end(), [&](const auto& type) {
        const auto& zones = type.zones;
        if (spec.zone && std::find(zones.begin(), zones.end(), *spec.zone) == zones.end()) {
            return false;
        }
        return wire::can_hold(type, {spec.cores, spec.accelerators, spec.ram_gb},
                              spec.machine_types);
    });
    return fits ? "" : "fits no allowed machine type";
}

std::string cancelled_record(std::int64_t now_ms) {
    return encode(kv::TerminalRecord{wire::JobPhase::cancelled, std::nullopt, now_ms}).packed;
}

Preparation SubmissionRecords::prepare(Submission& submission, std::uint64_t format,
                                       std::int64_t now_ms) const {
    submission.record.submitted_ms = now_ms;
    submission.writes.clear();
    submission.bytes = 0;
    const auto& spec = submission.record.spec;
    if (submission.cancelled) {
        submission.writes.push_back(
            {kv::terminal_key(spec.id), cancelled_record(now_ms), std::nullopt});
    } else if (!prepare_one_record(submission)) {
        if (spec.waits_on.empty()) return Preparation::too_large;
        // An older leader would not find the parts, and start the tasks early.
        if (format < config::kSplitDependencyFormat) return Preparation::later;
        if (!prepare_parts(submission)) return Preparation::too_many_jobs;
    }
    for (const auto& write : submission.writes) {
        submission.bytes += write.value.value_or("").size() + kOverheadBytes;
    }
    return Preparation::ready;
}

// All in the job's own record, if it fits and one transaction can guard all ancestors' ends.
bool SubmissionRecords::prepare_one_record(Submission& submission) const {
    const auto& record = submission.record;
    auto packed = encode(record);
    if (packed.json_size > config_.kv_limits.value_bytes()) return false;
    if (record.ancestors.size() + 2 > config_.kv_limits.max_preconditions()) return false;
    submission.writes.push_back({job_key(record.spec.id), std::move(packed.packed), std::nullopt});
    return true;
}

// What it depends on directly in records of its own, and as many of the others before it as one
// transaction can write; those left out reach it through the leader alone.
bool SubmissionRecords::prepare_parts(Submission& submission) const {
    const auto& ancestors = submission.record.ancestors;
    const auto& named = submission.record.spec.waits_on;
    std::vector<JobId> direct;
    std::vector<JobId> further;
    for (const auto& id : ancestors) {
        (std::binary_search(named.begin(), named.end(), id) ? direct : further).push_back(id);
    }
    const auto most = config_.kv_limits.txn_ops() - 1;
    const auto limit = config_.kv_limits.value_bytes();
    auto parts = kv::encode_dependency_parts(direct, true, limit);
    if (parts.size() > most) return false;
    auto rest = kv::encode_dependency_parts(further, false, limit);
    rest.resize(std::min(rest.size(), most - parts.size()));
    std::move(rest.begin(), rest.end(), std::back_inserter(parts));

    auto record = submission.record;
    record.spec.waits_on.clear();
    record.ancestors.clear();
    record.dependency_parts = parts.size();
    auto packed = encode(record);
    if (packed.json_size > limit) return false;
    const auto& id = record.spec.id;
    submission.writes.push_back({job_key(id), std::move(packed.packed), std::nullopt});
    for (std::size_t n = 0; n < parts.size(); ++n) {
        submission.writes.push_back(
            {kv::dependency_key(id, n), std::move(parts[n].packed), std::nullopt});
    }
    return true;
}

}  // namespace dunebridge::api
