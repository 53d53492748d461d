// The simulated world: controllers (real cores), stand-ins, users, a network with faults, and the
// protocol's rules, checked after every step. All of it repeats for a seed.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "controller/controller.hpp"
#include "kv/keys.hpp"
#include "sim/clock.hpp"
#include "sim/fake_cloud.hpp"
#include "sim/fake_kv_store.hpp"
#include "sim/fake_worker.hpp"

namespace dunebridge::sim {

struct ScenarioOptions {
    std::uint64_t seed = 1;
    double faults_s = 240;  // for how long faults come
    double fault_every_s = 12;
    int jobs = 24;
    std::size_t machines = 8;
    std::uint32_t most_tasks = 10;
    // Small urgent jobs that come all the time and would take every core, and one large job of
    // lower priority among them.
    bool urgent_flow = false;
    double task_s = 0;     // run time of every task; 0: by class
    double drain_s = 400;  // for how long after the troubles jobs may take to end
    // Troubles of the larger fleets besides: nodes that stand still, zones cut off with packets
    // held, machines dying together, a slow state service, repeats of requests carried out.
    bool severe_faults = false;
    // A fleet of thousands: the limits of the state service and the cloud are enforced as a site
    // of that size has them, lists come in full pages, and the rules are looked at less often.
    bool large_fleet = false;
    // The newest ledger format that the nodes know until they are upgraded; 0: they are new from
    // the start.
    std::uint64_t old_format = 0;
    // Pipelines of four jobs: one, two that need it, and a last one with the deadline, which needs
    // both; some begin with a job that has been there for long.
    int pipelines = 0;
    double pipelines_after_s = 0;
    // One more job at the end of each pipeline, which also waits on so many of the other jobs.
    std::size_t fan_in = 0;
    config::KvLimits limits;
    // So many percent of the jobs are submitted with a mistake: they fail on every machine until
    // their users call them off.
    unsigned failing_jobs_percent = 0;
    // A team without a guarantee hands in a giant array, one-task jobs by the dozen, and idle work.
    bool guest_team = false;
};

class SimulatedCluster : public WorkerHost {
  public:
    explicit SimulatedCluster(const ScenarioOptions& options);
    ~SimulatedCluster() override;

    // Runs the troubles, then quiet until every job is over or the limit is reached.
    void run();
    // Parts of a day, for scenarios of a test's own.
    void run_for(Millis span);
    void crash_leader(Millis down = Millis(4000));
    // The leader loses the state service and the other controllers, not its workers.
    void isolate_leader(Millis span);

    // Troubles of a scenario's own (troubles.cpp), each for a span from now on.
    // The state service refuses the node alone.
    void refuse(std::size_t node, Millis span);
    void refuse_leader(Millis span) { refuse(leader(), span); }
    void kv_store_outage(Millis span);
    void slow_kv_store(Millis span) { kv_store_slow_until_ = clock_.now() + span; }
    // CommandBatch to workers are held on the way.
    void delay_commands(Millis span) { commands_delayed_until_ = clock_.now() + span; }
    // That share of transactions gets no answer and is carried out 2 to 12 s later.
    void delay_transactions(double share, Millis span) {
        delayed_transactions_ = {share, clock_.now() + span};
    }
    // That share of transactions is carried out at once, and only the answer is lost.
    void drop_transaction_responses(double share, Millis span) {
        dropped_transaction_responses_ = {share, clock_.now() + span};
    }
    // Of that share of reports a copy arrives again at some node, up to three leases later.
    void duplicate_heartbeats(double share, Millis span) {
        duplicated_heartbeats_ = {share, clock_.now() + span};
    }
    // That share of the jobs that end is called off, asked about and submitted again at the moment
    // of the end.
    void cancel_on_completion(double share, Millis span) {
        cancel_on_completion_ = {share, clock_.now() + span};
    }
    // Users repeat submissions, cancel what is done, and send what cannot run or lacks a field.
    void inject_invalid_requests(Millis span);
    // The users of that many jobs under way call them off within a fifth of a second, at nodes that
    // do not lead.
    void cancel_running(std::size_t jobs);
    enum class WorkerFault : std::uint8_t {
        cut,           // nothing passes
        held,          // nothing passes, and what was sent arrives at the end
        unresponsive,  // reports arrive, answers and commands are lost
        mute,          // reports and their answers are lost, commands arrive
        hung
    };
    // So many percent of the machines.
    void inject_worker_fault(WorkerFault how, unsigned percent, Millis span);
    void kill_machines(unsigned percent);
    // Machines rented from now on come up late, or never, that share of them; in the zone, or in
    // all.
    void inject_boot_fault(double factor, double never, Millis span, const std::string& zone = {}) {
        cloud_.set_boot_fault({factor, never, zone, clock_.now() + span});
    }
    // The node's process stands still while its clock runs on.
    void stall_process(std::size_t node, Millis span);
    void stall_all_processes(Millis span);
    // Users ask about their jobs so many times as often.
    void poll_storm(int factor, Millis span);
    void crash_node(std::size_t node, Millis down) { crash(node % nodes_.size(), down); }
    void crash_all(Millis down);
    // Its process is killed and comes back with the newer version; one that dies before stays old.
    void upgrade(std::size_t node, Millis down);
    // The state service's limits fall to those that the settings name for later.
    void lower_limits();
    // The ledger format that is in force.
    std::uint64_t format() const;
    // The zone's machines and the node, cut off from everything; what was sent is held.
    void cut_zone(const std::string& zone, std::size_t node, Millis span);
    struct Lost {
        bool state = false;
        bool nodes = false;
        bool workers = false;
    };
    void cut_node(std::size_t node, Lost lost, bool held, Millis span);
    // Some of all that, by chance.
    void inject_random_fault();
    // Of late or missing machines, silent and stopped controllers, and masses of polls, one.
    void inject_random_compound_fault();
    // Starts later than a user was told that the job is cancelled.
    std::size_t starts_after_cancellation() const { return starts_after_cancellation_; }
    // Those that were not on their way to the machine when the user was told.
    std::size_t starts_long_after_cancellation() const { return starts_long_after_cancellation_; }
    std::size_t cancellations_seen() const;
    std::size_t nodes() const { return nodes_.size(); }
    // The node that leads, or the number of nodes if none does.
    std::size_t leader() const;
    bool leads(std::size_t node) const { return nodes_[node].core && nodes_[node].core->leads(); }
    std::size_t killed_by_lease() const;
    const FakeKvStore& state() const { return state_; }
    double elapsed_s() const { return to_seconds(clock_.now() - Clock().now()); }
    // From submission to the first start of the largest job's tasks; none: not begun.
    std::optional<double> largest_began_s() const;
    // Machines that the service returned while tasks were on them.
    std::size_t returned_with_tasks() const { return returned_with_tasks_; }
    const std::vector<std::string>& violated_invariants() const { return violations_; }
    std::string describe_violations() const;
    std::size_t unfinished_jobs() const;
    bool all_jobs_terminal() const;
    std::size_t tasks_started() const { return starts_; }
    std::size_t terms() const { return terms_; }
    // Of every call and answer that the controllers have emitted so far, in order. Two builds that
    // behave alike give the same one for a seed (tests/digest.cpp); log lines do not count.
    std::size_t digest() const { return digest_; }
    std::string describe_unfinished() const;
    // What the controllers have cost so far.
    struct Load {
        double processor_s = 0;  // in their own code
        double longest_step_s = 0;
        std::size_t steps = 0;
        std::size_t bytes = 0;  // of calls and answers
    };
    const Load& load() const { return load_; }
    const FakeCloud& cloud() const { return cloud_; }
    // The least part of any class's or team's jobs, not cancelled, that is done.
    double least_served() const;
    // Machines that the service has rented so far.
    std::size_t machines_rented() const { return cloud_.rented(); }
    std::size_t machines_up() const;

  private:
    // unresponsive: a machine's reports arrive, but no answer and no command reaches it.
    enum class Cut : std::uint8_t { none, drop, hold, unresponsive, mute };
    struct FaultWindow {
        double share = 0;
        Instant until{};
    };
    struct Node {
        std::unique_ptr<controller::Controller> core;
        std::uint64_t incarnation = 0;
        std::vector<controller::Command> queue;
        bool step_planned = false;
        Cut from_state = Cut::none;
        Cut from_workers = Cut::none;
        Cut from_nodes = Cut::none;
        bool refused = false;  // by the state service alone
        bool old_version = false;
        Instant cut_until{};
        Instant stalled_until{};  // it stands still, and its clock runs on
        std::map<RequestId, std::function<void(const sansio::HttpResponse&)>> waiting;
    };
    struct User {
        wire::JobSpec spec;
        Instant submit_at{};
        Instant abort_at = Instant::max();
        bool accepted = false;
        bool abort_asked = false;
        std::optional<wire::JobPhase> final;
        Instant cancellation_seen_at = Instant::max();
        Instant last_answer{};
        Instant final_seen_at{};
        Instant began = Instant::max();
        std::set<std::uint32_t> completed;
        bool chained = false;
        bool failing = false;
        Instant last_start{};
        Instant could_start_since = Instant::max();
    };

    // Nodes.
    void boot(std::size_t node);
    void crash(std::size_t node, Millis down);
    void command(std::size_t node, controller::Command command);
    void step(std::size_t node);
    void add_to_digest(std::size_t node, const sansio::Effects& effects);
    void add_to_load(double processor_s, const sansio::Effects& effects);
    bool unconnected(const std::string& endpoint);
    void call(std::size_t node, sansio::HttpCall call);
    void serve(std::size_t node, const sansio::HttpCall& call, FakeKvStore::Reply reply);
    void request(std::size_t node, controller::Listener plane, const std::string& method,
                 const std::string& target, const std::string& body,
                 std::function<void(const sansio::HttpResponse&)> then);
    Cut& cut_for(Node& node, sansio::Destination service);
    Millis latency();

    // WorkerManager (WorkerHost).
    const wire::JobSpec* description(const JobId& id) override;
    Millis run_time(const TaskRef& task) override;
    bool fails(const TaskRef& task) override { return users_.at(task.job).failing; }
    void task_started(const MachineName& host, const TaskRef& task) override;
    void task_completed(const TaskRef& task) override;
    void send_heartbeat(const MachineName& host, std::size_t node,
                        const std::string& body) override;
    std::size_t node_count() const override { return nodes_.size(); }
    std::size_t node_named(const std::string& name) const override;

    // Users.
    void make_users(int jobs);
    void make_flow();
    void make_pipelines();
    void make_guests();
    void make_mistakes();
    bool dependencies_accepted(const User& user) const;
    // The first moment at which a user was told that a job before this one is cancelled.
    Instant dependency_told_cancelled_at(const JobId& id) const;
    bool dependencies_done(const User& user) const;
    bool dependency_abort_asked(const JobId& id) const;
    void plan_user(User& user);
    void submit(User& user);
    void poll(User& user);
    void abort(User& user);
    void abort_at(User& user, std::size_t node);
    void record_response(User& user, const sansio::HttpResponse& answer);
    void ask_again(User& user, std::size_t node, const std::string& method,
                   const std::string& target, const std::string& body, const char* when);
    void repeat_user(User& user, const std::string& target, const std::string& body);
    void ask_unknown();

    void plan_fault();
    struct Fault;
    using FaultAction = std::function<void(SimulatedCluster&, const Fault&)>;
    static FaultAction cut_node_from(bool state, bool nodes, bool workers);
    static std::vector<FaultAction> service_faults();
    static std::vector<FaultAction> machine_faults();
    static const std::vector<FaultAction>& faults();
    FakeWorker* any_worker();
    Millis short_restart();
    void preempt_with_notice();
    void restart_again_and_again(std::size_t node);
    void fault();
    void heal_at(Instant until, std::size_t node);
    void plan_severe_faults();
    void inject_severe_fault();
    void repeat_later(std::size_t node, const sansio::HttpCall& call);
    Millis state_delay();
    void step_once(Instant limit);
    void copy_later(std::size_t node, const std::string& body);
    void check();
    void check_answers();
    void check_waiting();
    // What is on machines: cores by team and machine, tasks by job.
    struct Usage {
        std::map<std::string, double> teams;
        std::map<MachineName, double> hosts;
        std::map<JobId, std::map<std::string, std::uint32_t>> zones;
        std::map<JobId, std::size_t> has_started;
    };
    Usage usage();
    bool could_start(const User& user, Usage& usage);
    static bool starts_gradually(const User& user);
    bool occurs(const FaultWindow& chance);
    Cut worker_cut(const MachineName& host) const;
    void serve_late(const sansio::HttpCall& call);
    void send_invalid_request();
    void query_at_completion(User& user);
    void check_ledger();
    void broken(const std::string& rule, const std::string& detail);

    ScenarioOptions options_;
    std::mt19937_64 rng_;
    std::mt19937_64 severe_fault_rng_;  // its own, so that harsh days leave the others as they are
    Clock clock_;
    config::Config config_;
    FakeKvStore state_;
    FakeCloud cloud_;
    std::vector<Node> nodes_;
    std::map<MachineName, std::unique_ptr<FakeWorker>> workers_;
    // WorkerManager that have started any task of the job: no other can have one.
    std::map<JobId, std::set<MachineName>> started_on_;
    std::map<MachineName, std::pair<Cut, Instant>> worker_cuts_;
    std::map<JobId, User> users_;
    std::vector<std::string> violations_;
    std::uint64_t next_request_ = 0;
    std::uint64_t incarnations_ = 0;
    std::size_t starts_ = 0;
    std::size_t terms_ = 0;
    std::size_t digest_ = 0;
    Load load_;
    std::size_t returned_with_tasks_ = 0;
    double lost_responses_ = 0;
    Instant faults_end_{};
    Instant commands_delayed_until_{};
    Instant kv_store_slow_until_{};
    FaultWindow delayed_transactions_;
    FaultWindow dropped_transaction_responses_;
    FaultWindow duplicated_heartbeats_;
    FaultWindow cancel_on_completion_;
    std::size_t starts_after_cancellation_ = 0;
    std::size_t starts_long_after_cancellation_ = 0;
    int invalid_requests_ = 0;
    Instant next_waiting_check_{};
    Instant next_ledger_check_{};
    Instant next_check_{};
    Millis check_every_{20};
    Millis check_ledger_every_{50};
};

}  // namespace dunebridge::sim
