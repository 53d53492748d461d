#include "controller/peer_heartbeat_builder.hpp"

#include "config/record_format.hpp"

namespace dunebridge::controller {

using coordination::JobProgress;
using coordination::PeerHeartbeat;
using state::JobState;

PeerHeartbeatBuilder::PeerHeartbeatBuilder(const config::Config& config,
                                           const kv::KvClient& kv_client,
                                           const coordination::Election& election,
                                           coordination::CancellationLog& cancellation_log,
                                           const coordination::PeerMonitor& peer_monitor,
                                           state::ClusterState& cluster_state)
    : config_(config),
      kv_client_(kv_client),
      election_(election),
      cancellation_log_(cancellation_log),
      peer_monitor_(peer_monitor),
      state_(cluster_state) {}

PeerHeartbeat PeerHeartbeatBuilder::build() {
    PeerHeartbeat heartbeat;
    heartbeat.node = config_.name;
    heartbeat.is_active_leader = is_active_leader();
    heartbeat.term = election_.is_leader() ? election_.term() : peer_monitor_.highest_term();
    heartbeat.kv_reachable = kv_client_.reachable();
    heartbeat.format = config_.newest_record_format;
    heartbeat.cancellations = cancellation_log_.retained();
    if (!heartbeat.is_active_leader) return heartbeat;
    own_faulty_jobs_ = faulty_jobs();
    // Earlier versions do not have this field: it is sent only when every controller supports this
    // version's record format.
    if (common_record_format() == config_.newest_record_format)
        heartbeat.faulty_jobs = own_faulty_jobs_;
    for (const auto& [id, job] : state_.jobs()) {
        if (job.state == JobState::active && (job.done_count > 0 || job.running_count > 0)) {
            heartbeat.progress.push_back({id, job.done_count, job.running_count});
        }
    }
    return heartbeat;
}

std::uint64_t PeerHeartbeatBuilder::common_record_format() const {
    auto format = config_.newest_record_format;
    while (format > config::kChunkFormat && !peer_monitor_.all_peers_support(format)) --format;
    return format;
}

JobProgress PeerHeartbeatBuilder::progress(const JobId& job) {
    if (is_active_leader()) {
        const auto* known = state_.find_job(job);
        return known ? JobProgress{job, known->done_count, known->running_count}
                     : JobProgress{job, 0, 0};
    }
    const auto it = peer_monitor_.progress().find(job);
    return it == peer_monitor_.progress().end() ? JobProgress{job, 0, 0} : it->second;
}

void PeerHeartbeatBuilder::restore_faulty_jobs() {
    mark_faulty(own_faulty_jobs_);
    mark_faulty(peer_monitor_.faulty_jobs());
}

void PeerHeartbeatBuilder::mark_faulty(const std::vector<JobId>& jobs) {
    for (const auto& id : jobs) {
        if (auto* job = state_.find_job(id)) job->failures.faulty = true;
    }
}

std::vector<JobId> PeerHeartbeatBuilder::faulty_jobs() const {
    std::vector<JobId> faulty;
    for (const auto& [id, job] : state_.jobs()) {
        if (job.state == JobState::active && job.failures.faulty) faulty.push_back(id);
    }
    return faulty;
}

}  // namespace dunebridge::controller
