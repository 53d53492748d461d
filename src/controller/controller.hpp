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
#include "state/cluster_state_loader.hpp"
#include "state/cluster_state_writer.hpp"
#include "workers/worker_manager.hpp"

namespace dunebridge::controller {

enum class Plane : std::uint8_t { front, back };

struct Request {
    RequestId id;
    Plane plane = Plane::front;
    std::string method;
    std::string target;
    std::string body;
    bool too_large = false;
};
struct CallDone {
    CallId id;
    sansio::HttpReply reply;
};
using Command = std::variant<Request, CallDone>;

class Core {
  public:
    Core(config::Config config, std::uint64_t seed, sansio::LogLevel level);
    Core(const Core&) = delete;
    Core& operator=(const Core&) = delete;
    Core(Core&&) = delete;
    Core& operator=(Core&&) = delete;
    ~Core() = default;

    sansio::Effects apply(std::vector<Command>&& batch, Instant now, std::int64_t wall_ms);
    // When apply() wants to be called even without commands.
    Instant wake() const { return port_.wake(); }

    // For tests and measurements.
    bool leads() const { return election_.is_leader() && ledger_.loaded(); }

  private:
    void handle(Request&& request);
    void handle_back(const Request& request);
    void handle_job(const Request& request, const std::string& rest);
    void handle_checkin(const Request& request);
    void handle_ready(const Request& request);
    bool ready() const;
    void cancelled(const JobId& id);
    void cancel_in_ledger(const JobId& id);
    NodeName leader_to_tell() const;
    void announce(const JobId& id, std::function<void()> then);
    void take_over();
    void apply_cancellations();
    void restore_faulty_jobs();
    std::vector<JobId> faulty_jobs();
    void follow_leadership();
    void schedule();
    std::uint64_t format_of_all() const;
    coordination::Heartbeat heartbeat();
    coordination::Progress progress(const JobId& id);

    const config::Config config_;
    sansio::Port port_;
    kv::Store store_;
    coordination::Election election_;
    coordination::CancellationLog cancellations_;
    coordination::Peers peers_;
    state::Ledger ledger_;
    state::LedgerLoader loader_;
    state::LedgerCommitter committer_;
    workers::Workers workers_;
    provisioning::Provisioner provisioner_;
    scheduler::Scheduler scheduler_;
    api::JobService jobs_;
    LeadershipRules rules_;
    CheckinRelay relay_;
    std::uint64_t generation_ = 0;
    std::uint64_t taken_over_ = 0;        // the generation whose ledger has been completed
    std::vector<JobId> own_faulty_jobs_;  // as last told while leading
    bool led_ = false;
    Instant last_apply_{};
    Instant next_schedule_{};
    Instant next_upkeep_{};
};

}  // namespace dunebridge::controller
