// The one owner of a node's state. It works through commands in batches and returns effects.
// Pure: no input or output, no clock and no randomness but what it is given.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "api/job_service.hpp"
#include "cluster/cancellation_log.hpp"
#include "cluster/election.hpp"
#include "cluster/peers.hpp"
#include "core/checkin_relay.hpp"
#include "core/config.hpp"
#include "core/leadership_rules.hpp"
#include "core/ledger.hpp"
#include "core/ledger_committer.hpp"
#include "core/ledger_loader.hpp"
#include "core/port.hpp"
#include "provisioning/provisioner.hpp"
#include "scheduler/scheduler.hpp"
#include "state/store.hpp"
#include "workers/workers.hpp"

namespace dunebridge::core {

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
    HttpReply reply;
};
using Command = std::variant<Request, CallDone>;

class Core {
  public:
    Core(Config config, std::uint64_t seed, LogLevel level);
    Core(const Core&) = delete;
    Core& operator=(const Core&) = delete;
    Core(Core&&) = delete;
    Core& operator=(Core&&) = delete;
    ~Core() = default;

    Effects apply(std::vector<Command>&& batch, Instant now, std::int64_t wall_ms);
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
    cluster::Heartbeat heartbeat();
    cluster::Progress progress(const JobId& id);

    const Config config_;
    Port port_;
    state::Store store_;
    cluster::Election election_;
    cluster::CancellationLog cancellations_;
    cluster::Peers peers_;
    Ledger ledger_;
    LedgerLoader loader_;
    LedgerCommitter committer_;
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

}  // namespace dunebridge::core
