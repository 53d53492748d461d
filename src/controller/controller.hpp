// The one owner of a node's state. It works through commands in batches and returns effects.
// Pure: no input or output, no clock and no randomness but what it is given.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "api/job_service.hpp"
#include "config/config.hpp"
#include "controller/heartbeat_relay.hpp"
#include "controller/leadership_guard.hpp"
#include "coordination/cancellation_log.hpp"
#include "coordination/election.hpp"
#include "coordination/peer_monitor.hpp"
#include "kv/client.hpp"
#include "provisioning/provisioner.hpp"
#include "sansio/context.hpp"
#include "scheduler/scheduler.hpp"
#include "state/cluster_state.hpp"
#include "state/cluster_state_follower.hpp"
#include "state/cluster_state_loader.hpp"
#include "state/cluster_state_writer.hpp"
#include "state/machine_type_catalog.hpp"
#include "state/released_machines.hpp"
#include "state/run_time_estimator.hpp"
#include "state/worker_liveness.hpp"
#include "workers/worker_manager.hpp"

namespace dunebridge::controller {

enum class Listener : std::uint8_t { front, back };

struct Request {
    RequestId id;
    Listener plane = Listener::front;
    std::string method;
    std::string target;
    std::string body;
    bool too_large = false;
};
struct CallCompleted {
    CallId id;
    sansio::HttpResult reply;
};
using Command = std::variant<Request, CallCompleted>;

class Controller {
  public:
    Controller(config::Config config, std::uint64_t seed, sansio::LogLevel level);
    Controller(const Controller&) = delete;
    Controller& operator=(const Controller&) = delete;
    Controller(Controller&&) = delete;
    Controller& operator=(Controller&&) = delete;
    ~Controller() = default;

    sansio::Effects apply(std::vector<Command>&& batch, Instant now, std::int64_t wall_ms);
    // When apply() wants to be called even without commands.
    Instant wake() const { return context_.wake(); }

    // For tests and measurements.
    bool leads() const { return election_.is_leader() && state_.loaded(); }

  private:
    void handle(Request&& request);
    void handle_peer_request(const Request& request);
    void handle_job(const Request& request, const std::string& rest);
    void handle_worker_heartbeat(const Request& request);
    void handle_readiness(const Request& request);
    bool ready() const;
    void cancelled(const JobId& id);
    void cancel_in_state(const JobId& id);
    ControllerName leader_to_notify() const;
    void broadcast_cancellation(const JobId& id, std::function<void()> then);
    void complete_failover();
    void apply_cancellations();
    void restore_faulty_jobs();
    std::vector<JobId> faulty_jobs();
    void handle_leadership_change();
    void schedule();
    std::uint64_t common_record_format() const;
    coordination::PeerHeartbeat heartbeat();
    coordination::JobProgress progress(const JobId& id);

    const config::Config config_;
    sansio::Context context_;
    kv::KvClient kv_client_;
    coordination::Election election_;
    coordination::CancellationLog cancellations_;
    coordination::PeerMonitor peer_monitor_;
    state::ClusterState state_;
    state::ClusterStateFollower follower_;
    state::ClusterStateLoader loader_;
    state::ClusterStateWriter writer_;
    state::MachineTypeCatalog machine_types_;
    state::RunTimeEstimator run_time_estimator_;
    state::WorkerLiveness worker_liveness_;
    state::ReleasedMachines released_machines_;
    workers::WorkerManager workers_;
    provisioning::Provisioner provisioner_;
    scheduler::Scheduler scheduler_;
    api::JobService jobs_;
    LeadershipGuard leadership_guard_;
    HeartbeatRelay heartbeat_relay_;
    std::uint64_t generation_ = 0;
    std::uint64_t failover_completed_ = 0;  // the generation whose ledger has been completed
    std::vector<JobId> own_faulty_jobs_;    // as last told while leading
    bool led_ = false;
    Instant last_apply_{};
    Instant next_schedule_{};
    Instant next_upkeep_{};
};

}  // namespace dunebridge::controller
