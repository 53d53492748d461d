#include "sim/controller_harness.hpp"

#include <algorithm>

namespace dunebridge::sim {

using sansio::Destination;
using sansio::HttpResult;

namespace {
constexpr Millis kTurn{5};
constexpr std::int64_t kWallStart = 1700000000000;
}  // namespace

wire::JobSpec job(int n, std::uint32_t task_count) {
    wire::JobSpec s;
    s.id = JobId(fmt::format("req-{:06}", n));
    s.job_class = "short";
    s.team = "free";
    s.task_count = task_count;
    s.cores = 1;
    s.ram_gb = 1;
    s.image = "img";
    s.image_gb = 1;
    s.expected_run_time_s = 10;
    s.spot_allowed = true;
    return s;
}

wire::TaskStatus running_status(const wire::TaskCommand& order) {
    wire::TaskStatus t;
    t.task = order.task;
    t.attempt = order.attempt;
    t.phase = wire::TaskPhase::running;
    return t;
}

void acknowledge_token(ControllerHarness& s, HarnessWorker& w) {
    w.heartbeat.token = s.send_heartbeat(w.next_heartbeat()).second.token;
    s.run(Millis(500));
    s.send_heartbeat(w.next_heartbeat());
    s.run(Millis(300));
}

HarnessWorker ready_machine(ControllerHarness& s, std::size_t n) {
    auto worker = s.machine(n);
    acknowledge_token(s, worker);
    return worker;
}

static void execute_commands(HarnessWorker& w, const std::vector<wire::TaskCommand>& orders) {
    for (const auto& o : orders) {
        std::erase_if(w.heartbeat.tasks, [&](const auto& t) { return t.task == o.task; });
        if (o.kind == wire::CommandKind::start) w.heartbeat.tasks.push_back(running_status(o));
    }
}

void run_workers(ControllerHarness& s, const std::vector<HarnessWorker*>& workers, int seconds) {
    for (int i = 0; i < seconds; ++i) {
        for (auto* w : workers) {
            while (true) {
                const auto& all = s.commands_in_flight();
                const auto it = std::find_if(all.begin(), all.end(), [&](const auto& d) {
                    return d.endpoint == w->heartbeat.endpoint;
                });
                if (it == all.end()) break;
                const auto direct = *it;
                w->heartbeat.token = std::max(w->heartbeat.token, direct.commands.token);
                execute_commands(*w, direct.commands.commands);
                s.answer(direct, 200, w->next_heartbeat());
                s.run(Millis(40));
            }
            const auto reply = s.send_heartbeat(w->next_heartbeat()).second;
            w->heartbeat.token = std::max(w->heartbeat.token, reply.token);
            execute_commands(*w, reply.commands);
        }
        s.run(Millis(1000));
    }
}

void finish_task(HarnessWorker& w, const JobId& id) {
    for (auto& t : w.heartbeat.tasks) {
        if (t.task.job != id) continue;
        t.phase = wire::TaskPhase::exited;
        t.reason = wire::ExitReason::done;
    }
}

std::string HarnessWorker::next_heartbeat() {
    ++heartbeat.order.sequence;
    return wire::encode(heartbeat);
}

const config::Config& ControllerHarness::config() {
    static const config::Config config = [] {
        config::Config c;
        c.name = ControllerName("node-0");
        c.zones = {"a"};
        c.teams = {{"free", 0, 0, 0, 0}};
        c.heartbeat_interval = Millis(3000);
        c.worker_lease = Millis(15000);
        c.cancellation_deadline = Millis(40000);
        c.machine_list_lag = Millis(4000);
        c.cloud_rps = 5;
        return c;
    }();
    return config;
}

ControllerHarness::ControllerHarness(std::size_t most_machines, const config::Config& config)
    : config_(config),
      state_(clock_),
      cloud_(clock_, {{"big", 16, 0, 64, 50, 1, 0.9, 0.3, 5, {"a"}}}, most_machines, Millis(4000),
             5,
             {[this](const wire::ListedMachine& row) { up_.push_back(row); },
              [](const MachineName&) {},
              [this](const MachineName& host) { scaled_in_.insert(host); }}) {
    restart();
}

void ControllerHarness::restart() {
    ++incarnation_;
    queue_.clear();
    commands_in_flight_.clear();
    controller_ =
        std::make_unique<controller::Controller>(config_, incarnation_, sansio::LogLevel::debug);
}

void ControllerHarness::run(Millis span) {
    const auto end = clock_.now() + span;
    while (clock_.now() < end) {
        const auto turn = std::min(end, clock_.now() + kTurn);
        while (clock_.step(turn)) {
        }
        step();
    }
}

void ControllerHarness::stall_process(Millis span) {
    const auto end = clock_.now() + span;
    while (clock_.step(end)) {
    }
}

void ControllerHarness::step() {
    std::vector<controller::Command> batch;
    batch.swap(queue_);
    auto effects = controller_->apply(std::move(batch), clock_.now(),
                                      kWallStart + clock_.now().time_since_epoch().count());
    for (auto& line : effects.logs) logs_.push_back(std::move(line.text));
    for (auto& a : effects.responses) answers_.emplace(a.id, a);
    for (auto& c : effects.calls) call(std::move(c));
}

void ControllerHarness::call(sansio::HttpCall c) {
    const auto done = [this, id = c.id, incarnation = incarnation_](const HttpResult& reply) {
        if (incarnation == incarnation_) queue_.push_back(controller::CallCompleted{id, reply});
    };
    const bool lost = writes_lost_ && c.destination == Destination::kv_store &&
                      c.target == "/multi" &&
                      wire::Document::parse(c.body)->root()["writes"].size() > 0;
    if (lost) {
        clock_.after(c.timeout, [done] { done(HttpResult(sansio::CallOutcome::no_response)); });
    } else if (c.destination == Destination::kv_store && holds_answer_ && holds_answer_(c)) {
        state_.handle(c.method, c.target, c.body, [this, done](const HttpResult& reply) {
            held_answers_.push_back([done, reply] { done(reply); });
        });
    } else if (c.destination == Destination::kv_store) {
        state_.handle(c.method, c.target, c.body, done);
    } else if (c.destination == Destination::cloud) {
        done(cloud_.handle(c.method, c.target, c.body));
    } else if (c.destination == Destination::peer) {
        clock_.after(c.timeout, [done] {
            done(HttpResult(sansio::CallOutcome::no_response));
        });  // no other controller is there
    } else {
        const auto doc = wire::Document::parse(c.body);
        commands_in_flight_.push_back({c.id, c.endpoint, wire::decode_commands(doc->root())});
        clock_.after(c.timeout, [this, id = c.id, done] {
            if (std::erase_if(commands_in_flight_,
                              [&](const DirectCommand& d) { return d.id == id; }) > 0) {
                done(HttpResult(sansio::CallOutcome::no_response));
            }
        });
    }
}

void ControllerHarness::release_answers() {
    holds_answer_ = nullptr;
    for (const auto& deliver : held_answers_) deliver();
    held_answers_.clear();
}

sansio::HttpResponse ControllerHarness::request(const std::string& method,
                                                const std::string& target,
                                                const std::string& body) {
    return wait_for_answer(begin_request(method, target, body));
}

RequestId ControllerHarness::begin_request(const std::string& method, const std::string& target,
                                           const std::string& body) {
    const RequestId id(++next_request_);
    queue_.push_back(
        controller::Request{id, controller::Listener::front, method, target, body, false});
    return id;
}

sansio::HttpResponse ControllerHarness::wait_for_answer(RequestId id) {
    for (int i = 0; i < 600 && !answers_.contains(id); ++i) run(kTurn);
    return answers_.contains(id) ? answers_.at(id) : sansio::HttpResponse{id, 0, {}, {}};
}

int ControllerHarness::submit(const wire::JobSpec& job) {
    wire::Writer w;
    wire::encode_job(w, job);
    return request("POST", "/v1/jobs", w.take()).status;
}

std::string ControllerHarness::phase(const JobId& id) {
    const auto answer = request("GET", "/v1/jobs/" + id.get(), {});
    const auto doc = wire::Document::parse(answer.body);
    if (answer.status != 200 || !doc) return {};
    return doc->root()["phase"].need_text("phase");
}

std::pair<int, wire::CommandBatch> ControllerHarness::send_heartbeat(const std::string& report) {
    const auto a = request("POST", "/checkin", report);
    const auto doc = wire::Document::parse(a.body);
    return {a.status,
            a.status == 200 && doc ? wire::decode_commands(doc->root()) : wire::CommandBatch()};
}

void ControllerHarness::answer(const DirectCommand& direct, int status, const std::string& report) {
    complete(direct, HttpResult(status, report));
}

void ControllerHarness::complete(const DirectCommand& direct, const HttpResult& result) {
    const auto id = direct.id;
    std::erase_if(commands_in_flight_, [&](const DirectCommand& d) { return d.id == id; });
    queue_.push_back(controller::CallCompleted{id, result});
}

HarnessWorker ControllerHarness::machine(std::size_t n) {
    for (int i = 0; i < 600 && up_.size() <= n; ++i) run(Millis(100));
    HarnessWorker p;
    if (up_.size() <= n) return p;
    const auto& row = up_[n];
    p.heartbeat.host = row.host;
    p.heartbeat.endpoint = row.endpoint;
    p.heartbeat.machine_type = row.machine_type;
    p.heartbeat.zone = row.zone;
    p.heartbeat.spot = row.spot;
    p.heartbeat.order.agent_epoch = 1;
    return p;
}

void ControllerHarness::write(const std::string& key, const std::string& value) {
    state_.handle("POST", "/multi", wire::encode_transaction({}, {{key, value, std::nullopt}}),
                  [](const HttpResult&) {});
}

std::size_t ControllerHarness::logged_times(const std::string& what) const {
    return static_cast<std::size_t>(
        std::count_if(logs_.begin(), logs_.end(),
                      [&](const auto& line) { return line.find(what) != std::string::npos; }));
}

std::vector<std::string> ControllerHarness::recorded_hosts(const JobId& id) const {
    std::vector<std::string> out;
    for (const auto& [key, value] : state_.values("prog/" + id.get() + "/")) {
        const auto doc = wire::Document::parse(value);
        const auto hosts = doc->root()["tasks"];
        for (std::size_t h = 0; h < hosts.size(); ++h) {
            out.push_back(hosts.at(h).at(0).need_text("host"));
        }
    }
    return out;
}

}  // namespace dunebridge::sim
