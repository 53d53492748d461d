/// \file
/// One controller with a fake key-value store and a fake cloud, in virtual time. The test acts as
/// the workers, message by message: for what must not happen between two messages.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "controller/controller.hpp"
#include "kv/keys.hpp"
#include "sim/clock.hpp"
#include "sim/fake_cloud.hpp"
#include "sim/fake_kv_store.hpp"

namespace dunebridge::sim {

/// A small job of the team without a quota; its identifier is made of the number.
wire::JobSpec job(int n, std::uint32_t task_count = 1);

/// A worker as the test acts it out: the content of its next heartbeat.
struct HarnessWorker {
    wire::WorkerHeartbeat heartbeat;
    /// Increases the sequence number and encodes the heartbeat.
    std::string next_heartbeat();
};

/// Runs the controller every 5 ms of virtual time. Requests block, in virtual time, until they are
/// answered; direct commands wait for the test to answer them, or time out.
class ControllerHarness {
  public:
    explicit ControllerHarness(std::size_t most_machines,
                               const config::Config& config = ControllerHarness::config());

    /// Lets time pass.
    void run(Millis span);
    /// The controller does nothing while the clock and the fakes go on.
    void stall_process(Millis span);
    /// Replaces the controller by a new incarnation, which knows only what is on record.
    void restart();

    /// Sends a request to the front listener. Status 0: no answer within three seconds.
    sansio::HttpResponse request(const std::string& method, const std::string& target,
                                 const std::string& body);
    /// Sends a request to the front listener without waiting for the answer.
    RequestId begin_request(const std::string& method, const std::string& target,
                            const std::string& body);
    /// Waits up to three seconds for the answer to the request. Status 0: there is none.
    sansio::HttpResponse wait_for_answer(RequestId id);
    /// Submits the job and returns the status.
    int submit(const wire::JobSpec& job);
    /// The phase that the controller reports for the job; empty if it reports none.
    std::string phase(const JobId& id);
    /// Sends an encoded heartbeat; returns the status and the commands of the response.
    std::pair<int, wire::CommandBatch> send_heartbeat(const std::string& report);

    /// A command sent directly to a worker that has no answer yet.
    struct DirectCommand {
        CallId id;
        std::string endpoint;
        wire::CommandBatch commands;
    };
    /// The direct commands without an answer, oldest first.
    const std::vector<DirectCommand>& commands_in_flight() const { return commands_in_flight_; }
    /// Answers a direct command with a status and the worker's heartbeat.
    void answer(const DirectCommand& direct, int status, const std::string& report);
    // Ends the call of a command with that result.
    void complete(const DirectCommand& direct, const sansio::HttpResult& result);

    /// Waits up to a minute for the n-th machine to boot, and returns its worker.
    HarnessWorker machine(std::size_t n);
    /// Whether the controller has asked the cloud to delete the machine.
    bool scaled_in(const MachineName& host) const { return scaled_in_.contains(host); }
    /// Whether a log line contains the text.
    bool logged(const std::string& what) const { return logged_times(what) > 0; }
    std::size_t logged_times(const std::string& what) const;
    /// The machines on which the job's tasks are on record.
    std::vector<std::string> recorded_hosts(const JobId& id) const;
    bool leads() const { return controller_->is_active_leader(); }
    /// While set, transactions that write are lost: they are neither carried out nor answered.
    void set_writes_lost(bool lost) { writes_lost_ = lost; }
    /// Decides whether the answer to a call to the key-value store is held.
    using HoldsAnswer = std::function<bool(const sansio::HttpCall&)>;
    /// From now on, the key-value store carries out such calls at once, and the controller gets the
    /// answers only when they are released.
    void hold_answers(HoldsAnswer holds) { holds_answer_ = std::move(holds); }
    /// Delivers the held answers and holds no further ones.
    void release_answers();
    FakeKvStore& state() { return state_; }
    FakeCloud& cloud() { return cloud_; }
    /// Writes the key as another controller would.
    void write(const std::string& key, const std::string& value);

    /// The configuration used unless a test passes another one.
    static const config::Config& config();

  private:
    void step();
    void call(sansio::HttpCall call);

    const config::Config config_;
    Clock clock_;
    FakeKvStore state_;
    FakeCloud cloud_;
    std::unique_ptr<controller::Controller> controller_;
    std::uint64_t incarnation_ = 0;
    std::uint64_t next_request_ = 0;
    std::vector<controller::Command> queue_;
    std::map<RequestId, sansio::HttpResponse> answers_;
    std::vector<DirectCommand> commands_in_flight_;
    std::vector<wire::ListedMachine> up_;
    std::set<MachineName> scaled_in_;
    std::vector<std::string> logs_;
    bool writes_lost_ = false;
    HoldsAnswer holds_answer_;
    std::vector<std::function<void()>> held_answers_;
};

/// The status of the task that the command has started.
wire::TaskStatus running_status(const wire::TaskCommand& order);
/// Sends the worker's first two heartbeats, after which it has acknowledged the leader's fencing
/// token.
void acknowledge_token(ControllerHarness& s, HarnessWorker& w);
/// Waits for the n-th machine to boot and acknowledges the leader's fencing token.
HarnessWorker ready_machine(ControllerHarness& s, std::size_t n);
/// Lets the workers execute all commands and send a heartbeat every second. Tasks run until the
/// test finishes them.
void run_workers(ControllerHarness& s, const std::vector<HarnessWorker*>& workers, int seconds);
/// Marks the job's tasks on the worker as exited and done.
void finish_task(HarnessWorker& w, const JobId& id);

}  // namespace dunebridge::sim
