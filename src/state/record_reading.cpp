#include "state/record_reading.hpp"

#include "kv/records.hpp"

namespace dunebridge::state {

namespace {
// Time for a node that can decode the record to become the leader.
constexpr Millis kResignCooldown{20000};
}  // namespace

void log_invalid_record(sansio::Context& context, const InvalidRecord& record) {
    context.log(sansio::LogLevel::error, "event=invalid_record key={} error=\"{}\"", record.key,
                record.reason);
}

void resign_over_invalid_record(sansio::Context& context, coordination::Election& election,
                                const InvalidRecord& record) {
    log_invalid_record(context, record);
    election.resign(kResignCooldown);
}

void apply_dependency_record(ClusterState& cluster_state, Job& job, const kv::Entry& entry) {
    const auto part = kv::decode_dependency_part(entry.value);
    ++job.dependencies.records_read;
    cluster_state.stored().set(entry.key, entry.rev);
    if (!part.direct) return;
    auto& direct = job.spec.dependencies;
    direct.insert(direct.end(), part.jobs.begin(), part.jobs.end());
}

}  // namespace dunebridge::state
