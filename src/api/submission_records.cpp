#include "api/submission_records.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

#include "api/request_limits.hpp"
#include "config/record_format.hpp"
#include "kv/keys.hpp"
#include "kv/records.hpp"

namespace dunebridge::api {

using sansio::Refusal;
using sansio::RefusalReason;

namespace {

bool is_over_team_limit(const wire::JobSpec& spec, const config::Team& team) {
    return (team.cpus_max > 0 && spec.cores > team.cpus_max) ||
           (team.gpus_max > 0 && spec.accelerators > team.gpus_max);
}

bool fits(const wire::JobSpec& spec, const wire::MachineType& type) {
    const auto& zones = type.zones;
    if (spec.zone && std::find(zones.begin(), zones.end(), *spec.zone) == zones.end()) return false;
    return wire::can_hold(type, {spec.cores, spec.accelerators, spec.ram_gb}, spec.machine_types);
}

}  // namespace

std::optional<Refusal> check_runnable(const wire::JobSpec& spec, const config::Config& config,
                                      const std::vector<wire::MachineType>& types) {
    const auto* team = config.find_team(spec.team);
    if (!team) return Refusal(RefusalReason::never_runnable, "unknown team");
    if (is_over_team_limit(spec, *team)) {
        return Refusal(RefusalReason::never_runnable, "a task exceeds the limits of the team");
    }
    const bool fits_some =
        std::any_of(types.begin(), types.end(), [&](const auto& type) { return fits(spec, type); });
    if (!fits_some) {
        return Refusal(RefusalReason::never_runnable,
                       "a task fits no machine type that the job allows");
    }
    return std::nullopt;
}

std::string cancellation_record(std::int64_t now_ms) {
    return encode(kv::TerminalRecord{wire::JobPhase::cancelled, std::nullopt, now_ms}).packed;
}

PrepareResult SubmissionRecordBuilder::prepare(Submission& submission, std::uint64_t format,
                                               std::int64_t now_ms) const {
    submission.record.submitted_ms = now_ms;
    submission.writes.clear();
    submission.bytes = 0;
    const auto& spec = submission.record.spec;
    if (submission.cancelled) {
        submission.writes.push_back(
            {kv::terminal_key(spec.id), cancellation_record(now_ms), std::nullopt});
    } else if (!prepare_single_record(submission)) {
        if (spec.dependencies.empty()) return PrepareResult::too_large;
        // A leader of an older version would ignore the parts and start the tasks too early.
        if (format < config::kSplitDependencyFormat) return PrepareResult::format_not_adopted;
        if (!prepare_parts(submission)) return PrepareResult::too_many_dependencies;
    }
    for (const auto& write : submission.writes) {
        submission.bytes += write.value.value_or("").size() + kWriteOverheadBytes;
    }
    return PrepareResult::ready;
}

// Puts the job with all its dependencies into the job record if they fit and one transaction can
// have preconditions on all ancestors. Returns whether this was possible.
bool SubmissionRecordBuilder::prepare_single_record(Submission& submission) const {
    const auto& record = submission.record;
    auto packed = encode(record);
    if (packed.json_size > config_.kv_limits.value_bytes()) return false;
    const auto preconditions = kOwnJobPreconditions + record.ancestors.size();
    if (preconditions > config_.kv_limits.max_preconditions()) return false;
    submission.writes.push_back(
        {kv::job_key(record.spec.id), std::move(packed.packed), std::nullopt});
    return true;
}

bool SubmissionRecordBuilder::prepare_parts(Submission& submission) const {
    auto parts = encode_parts(submission.record);
    if (!parts) return false;
    auto record = submission.record;
    record.spec.dependencies.clear();
    record.ancestors.clear();
    record.dependency_parts = parts->size();
    auto packed = encode(record);
    if (packed.json_size > config_.kv_limits.value_bytes()) return false;
    const auto& id = record.spec.id;
    submission.writes.push_back({kv::job_key(id), std::move(packed.packed), std::nullopt});
    for (std::size_t n = 0; n < parts->size(); ++n) {
        submission.writes.push_back(
            {kv::dependency_key(id, n), std::move((*parts)[n].packed), std::nullopt});
    }
    return true;
}

// Encodes the direct dependencies and as many of the transitive ones as one transaction can write.
// The cancellation of an ancestor that is left out reaches the job only through the leader. Returns
// nothing if not even the direct dependencies fit.
std::optional<std::vector<kv::PackedRecord>> SubmissionRecordBuilder::encode_parts(
    const kv::JobRecord& record) const {
    const auto& named = record.spec.dependencies;
    std::vector<JobId> direct;
    std::vector<JobId> further;
    for (const auto& id : record.ancestors) {
        const bool is_direct = std::binary_search(named.begin(), named.end(), id);
        (is_direct ? direct : further).push_back(id);
    }
    const auto max_parts = config_.kv_limits.txn_ops() - 1;  // one write is the job record
    const auto max_bytes = config_.kv_limits.value_bytes();
    auto parts = kv::encode_dependency_parts(direct, true, max_bytes);
    if (parts.size() > max_parts) return std::nullopt;
    auto further_parts = kv::encode_dependency_parts(further, false, max_bytes);
    further_parts.resize(std::min(further_parts.size(), max_parts - parts.size()));
    std::move(further_parts.begin(), further_parts.end(), std::back_inserter(parts));
    return parts;
}

}  // namespace dunebridge::api
