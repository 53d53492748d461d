/// \file
/// A fake of one machine's worker agent, written from its protocol page.
#pragma once

#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>

#include "config/config.hpp"
#include "sansio/context.hpp"
#include "sim/clock.hpp"
#include "wire/messages.hpp"

namespace dunebridge::sim {

/// One attempt of a task on the machine.
struct WorkerTask {
    Attempt attempt;
    wire::TaskPhase phase = wire::TaskPhase::fetching;
    wire::ExitReason reason = wire::ExitReason::none;
    Instant next{};  ///< When the current phase ends.
};

/// What a worker needs of the simulation around it.
class WorkerHost {
  public:
    virtual ~WorkerHost() = default;
    /// The job's description, or null if it was never submitted.
    virtual const wire::JobSpec* description(const JobId& id) = 0;
    /// How long the task runs on this attempt; may draw a random number.
    virtual Millis run_time(const TaskRef& task) = 0;
    /// Whether the task fails on every machine.
    virtual bool fails(const TaskRef& task) = 0;
    /// The worker has started or completed a task.
    virtual void task_started(const MachineName& host, const TaskRef& task) = 0;
    virtual void task_completed(const TaskRef& task) = 0;
    /// Sends a heartbeat to a controller; the response comes back through heartbeat_answered().
    virtual void send_heartbeat(const MachineName& host, std::size_t node,
                                const std::string& body) = 0;
    virtual std::size_t node_count() const = 0;
    virtual std::size_t node_named(const std::string& name) const = 0;  ///< Or node_count().
};

/// Runs tasks, sends heartbeats, follows redirects to the leader, and kills its tasks when its
/// lease expires. Its decisions are drawn from a seed.
class FakeWorker {
  public:
    FakeWorker(Clock& clock, WorkerHost& world, const config::Config& config,
               const wire::MachineType& type, MachineName host, std::string zone, bool spot,
               std::uint64_t seed);

    /// Begins to send heartbeats.
    void start();
    /// The machine is gone: nothing runs on it and nothing is sent.
    void stop() { gone_ = true; }
    /// The process does nothing for the span; its lease expires all the same.
    void hang(Millis duration);
    /// The process ends and is back at once: its tasks are gone, and a new epoch begins.
    void restart() { begin_epoch(); }
    void set_notice(Instant at) { taken_at_ = at; }
    void set_faulty(bool faulty) { faulty_ = faulty; }

    /// The response to the heartbeat with that sequence number; null: none in time.
    void heartbeat_answered(std::uint64_t sequence, const sansio::HttpResult* reply);
    /// Executes a direct command batch; the response holds a heartbeat.
    sansio::HttpResult commands(const std::string& body);
    bool hanging() const { return clock_.now() < hang_until_; }
    Instant hang_until() const { return hang_until_; }
    bool gone() const { return gone_; }
    std::uint64_t agent_epoch() const { return tenure_; }
    std::uint64_t sequence() const { return sequence_; }
    std::size_t killed_by_lease() const { return killed_; }

    const MachineName& host() const { return host_; }
    const std::string& zone() const { return region_; }
    const std::string& machine_type() const { return type_.name; }
    bool spot() const { return spot_; }
    double cores() const { return type_.cores; }
    std::string endpoint() const { return "worker:" + host_.get(); }
    /// Tasks on the machine that have neither exited nor been killed by a lease expiry.
    std::set<TaskRef> present();
    /// How many of the job's tasks are on the machine, apart from the given one.
    std::uint32_t present_of(const JobId& job, const TaskRef& aside);
    bool has(const TaskRef& task);
    Attempt attempt(const TaskRef& task) const { return tasks_.at(task).attempt; }

  private:
    void tick();
    void advance();
    void check_lease();
    void begin_epoch();
    void report();
    void changed() {
        report_at_ = std::min(report_at_, std::max(clock_.now(), last_sent_ + Millis(500)));
    }
    std::string report_body();
    void execute(const wire::TaskCommand& order);
    void start_task(const wire::TaskCommand& order);
    void try_node(std::size_t node, Millis pause);

    Clock& clock_;
    WorkerHost& world_;
    const config::Config& config_;
    wire::MachineType type_;
    MachineName host_;
    std::string region_;
    bool spot_;
    std::mt19937_64 rng_;
    bool gone_ = false;
    bool faulty_ = false;
    Instant hang_until_{};
    std::optional<Instant> taken_at_;

    std::uint64_t tenure_ = 1;
    std::uint64_t tick_ = 0;
    FencingToken epoch_;
    Instant lease_from_{};
    std::map<TaskRef, WorkerTask> tasks_;

    std::size_t node_ = 0;
    bool in_flight_ = false;
    std::uint64_t sequence_ = 0;
    std::size_t killed_ = 0;
    std::uint64_t sent_tenure_ = 0;
    Instant last_sent_{};
    Instant report_at_{};
};

}  // namespace dunebridge::sim
