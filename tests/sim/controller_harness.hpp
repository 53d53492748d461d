// One controller against the stand-ins of the state service and the cloud, in virtual time; the
// test itself plays the workers, message by message. For what must not happen between two messages.
#pragma once

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

// A small job of the team that has no limit.
wire::JobSpec job(int n, std::uint32_t task_count = 1);

// A worker as the test plays it: what its next report says.
struct HarnessWorker {
    wire::WorkerHeartbeat heartbeat;
    std::string next_heartbeat();  // its next report, packed
};

class ControllerHarness {
  public:
    explicit ControllerHarness(std::size_t most_machines,
                               const config::Config& config = ControllerHarness::config());

    void run(Millis span);
    // The controller stands still while the clock and the others go on.
    void stall_process(Millis span);
    // A new incarnation of the controller, with nothing but what is on record.
    void restart();

    sansio::HttpResponse request(const std::string& method, const std::string& target,
                                 const std::string& body);
    int submit(const wire::JobSpec& job);
    std::string phase(const JobId& id);  // empty: no answer with one
    // The answer to a check-in, and what it orders.
    std::pair<int, wire::CommandBatch> send_heartbeat(const std::string& report);

    // DirectCommand commands that have no answer yet.
    struct DirectCommand {
        CallId id;
        std::string endpoint;
        wire::CommandBatch commands;
    };
    const std::vector<DirectCommand>& commands_in_flight() const { return commands_in_flight_; }
    void answer(const DirectCommand& direct, int status, const std::string& report);

    // Waits for the n-th machine to boot.
    HarnessWorker machine(std::size_t n);
    bool scaled_in(const MachineName& host) const { return scaled_in_.contains(host); }
    bool logged(const std::string& what) const { return logged_times(what) > 0; }
    std::size_t logged_times(const std::string& what) const;
    // Hosts on which the job's tasks are on record.
    std::vector<std::string> recorded_hosts(const JobId& id) const;
    bool leads() const { return controller_->leads(); }
    // While set, the controller's transactions that write get lost: nobody answers them.
    void set_writes_lost(bool lost) { writes_lost_ = lost; }
    FakeKvStore& state() { return state_; }
    FakeCloud& cloud() { return cloud_; }
    // Another node writes the key.
    void write(const std::string& key, const std::string& value);

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
    std::vector<wire::MachineListing> up_;
    std::set<MachineName> scaled_in_;
    std::vector<std::string> logs_;
    bool writes_lost_ = false;
};

wire::TaskStatus running_status(const wire::TaskCommand& order);
// The worker's first reports, after which it has seen the leader's token.
void acknowledge_token(ControllerHarness& s, HarnessWorker& w);
// Waits for the n-th machine to boot and to have seen the leader's token.
HarnessWorker ready_machine(ControllerHarness& s, std::size_t n);
// The workers obey, and report every second; tasks run until the test ends them.
void run_workers(ControllerHarness& s, const std::vector<HarnessWorker*>& workers, int seconds);
void finish_task(HarnessWorker& w, const JobId& id);

}  // namespace dunebridge::sim
