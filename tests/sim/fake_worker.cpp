#include "sim/fake_worker.hpp"

#include <algorithm>

namespace dunebridge::sim {

using wire::ExitReason;
using wire::TaskPhase;

namespace {
constexpr Millis kStep{100};
}

FakeWorker::FakeWorker(Clock& clock, WorkerHost& world, const config::Config& config,
                       const wire::MachineType& type, MachineName host, std::string zone, bool spot,
                       std::uint64_t seed)
    : clock_(clock),
      world_(world),
      config_(config),
      type_(type),
      host_(std::move(host)),
      region_(std::move(zone)),
      spot_(spot),
      rng_(seed) {}

void FakeWorker::start() {
    lease_from_ = report_at_ = clock_.now();
    node_ = rng_() % world_.node_count();
    tick();
}

void FakeWorker::hang(Millis duration) { hang_until_ = clock_.now() + duration; }

void FakeWorker::tick() {
    if (gone_) return;
    if (!hanging()) {
        check_lease();
        advance();
        if (!in_flight_ && clock_.now() >= report_at_) report();
    }
    clock_.after(kStep, [this] { tick(); });
}

void FakeWorker::check_lease() {
    if (clock_.now() - lease_from_ <= config_.worker_lease) return;
    for (const auto& [task, t] : tasks_) killed_ += t.phase != TaskPhase::exited ? 1 : 0;
    begin_epoch();
}

void FakeWorker::begin_epoch() {
    tasks_.clear();
    ++tenure_;
    lease_from_ = clock_.now();
    changed();
}

std::set<TaskRef> FakeWorker::present() {
    std::set<TaskRef> out;
    if (gone_) return out;
    // A hanging machine's lease ends all the same.
    if (clock_.now() - lease_from_ > config_.worker_lease) return out;
    for (const auto& [task, t] : tasks_) {
        if (t.phase != TaskPhase::exited) out.insert(task);
    }
    return out;
}

bool FakeWorker::has(const TaskRef& task) {
    if (gone_ || clock_.now() - lease_from_ > config_.worker_lease) return false;
    const auto it = tasks_.find(task);
    return it != tasks_.end() && it->second.phase != TaskPhase::exited;
}

std::uint32_t FakeWorker::present_of(const JobId& job, const TaskRef& aside) {
    std::uint32_t n = 0;
    for (auto it = tasks_.lower_bound({job, 0}); it != tasks_.end() && it->first.job == job; ++it) {
        if (it->first != aside && has(it->first)) ++n;
    }
    return n;
}

void FakeWorker::advance() {
    for (auto& [task, t] : tasks_) {
        if (t.phase == TaskPhase::exited || clock_.now() < t.next) continue;
        if (t.phase == TaskPhase::fetching) {
            t.phase = TaskPhase::running;
            t.next = clock_.now() + world_.run_time(task);
        } else {
            const bool fails = (faulty_ || world_.fails(task)) && t.phase == TaskPhase::running;
            t.reason =
                fails ? ExitReason::error
                      : (t.phase == TaskPhase::saving ? ExitReason::stopped : ExitReason::done);
            t.phase = TaskPhase::exited;
            if (t.reason == ExitReason::done) world_.task_completed(task);
        }
        changed();
    }
}

void FakeWorker::report() {
    in_flight_ = true;
    last_sent_ = clock_.now();
    sent_tenure_ = tenure_;
    ++sequence_;
    const auto jitter = static_cast<std::int64_t>(rng_() % 50) - 25;
    report_at_ =
        clock_.now() + config_.heartbeat_interval + config_.heartbeat_interval * jitter / 100;
    clock_.after(Millis(4000),
                 [this, sequence = sequence_] { heartbeat_answered(sequence, nullptr); });
    world_.send_heartbeat(host_, node_, report_body());
}

std::string FakeWorker::report_body() {
    wire::WorkerHeartbeat r;
    r.host = host_;
    r.endpoint = endpoint();
    r.machine_type = type_.name;
    r.zone = region_;
    r.spot = spot_;
    r.order = {tenure_, ++tick_};
    r.token = epoch_;
    if (taken_at_) r.eviction_s = std::max(0.0, to_seconds(*taken_at_ - clock_.now()));
    for (const auto& [task, t] : tasks_) {
        r.tasks.push_back({task, t.attempt, t.phase, t.reason, false});
    }
    return wire::encode(r);
}

void FakeWorker::try_node(std::size_t node, Millis pause) {
    node_ = node;
    report_at_ = clock_.now() + pause;
}

void FakeWorker::heartbeat_answered(std::uint64_t sequence, const sansio::HttpResult* reply) {
    if (gone_ || !in_flight_ || sequence != sequence_ || hanging()) return;
    in_flight_ = false;
    const auto next = (node_ + 1) % world_.node_count();
    if (!reply) {
        try_node(next, Millis(1000));
        return;
    }
    const auto doc = wire::Document::parse(reply->body);
    if (reply->status == 421) {
        const auto name = doc ? doc->root()["leader"].text() : std::nullopt;
        const auto to = name ? world_.node_named(std::string(*name)) : world_.node_count();
        if (to < world_.node_count() && to != node_) {
            try_node(to, Millis(static_cast<std::int64_t>(rng_() % 500)));
        } else {
            try_node(next, Millis(1000));
        }
        return;
    }
    if (reply->status != 200) {
        try_node(next, Millis(1000));
        return;
    }
    check_lease();
    const auto answer = wire::decode_commands(doc->root());
    if (sent_tenure_ != tenure_ || answer.token < epoch_) return;
    lease_from_ = last_sent_;
    if (answer.token > epoch_) {
        epoch_ = answer.token;
        changed();
    }
    for (const auto& order : answer.commands) execute(order);
}

sansio::HttpResult FakeWorker::commands(const std::string& body) {
    check_lease();
    const auto c = wire::decode_commands(wire::Document::parse(body)->root());
    if (c.token < epoch_ || c.agent_epoch != tenure_) return {409, report_body()};
    if (c.token > epoch_) {
        epoch_ = c.token;
        changed();
    }
    for (const auto& order : c.commands) execute(order);
    return {200, report_body()};
}

void FakeWorker::start_task(const wire::TaskCommand& o) {
    const auto it = tasks_.find(o.task);
    if (it != tasks_.end() && it->second.attempt == o.attempt) return;
    WorkerTask t;
    t.attempt = o.attempt;
    const auto* job = world_.description(o.task.job);
    double cores = 0;
    for (const auto& [task, other] : tasks_) {
        if (other.phase != TaskPhase::exited) cores += world_.description(task.job)->cores;
    }
    if (!job) {
        t.reason = ExitReason::unknown;
    } else if (it != tasks_.end() && it->second.phase != TaskPhase::exited) {
        return;  // busy: the attempt that is here stays
    } else if (cores + job->cores > type_.cores + 1e-6) {
        t.reason = ExitReason::full;
    }
    if (t.reason != ExitReason::none) {
        t.phase = TaskPhase::exited;
    } else {
        t.next = clock_.now() + Millis(1000 + static_cast<std::int64_t>(rng_() % 3000));
        world_.task_started(host_, o.task);
    }
    tasks_[o.task] = t;
}

void FakeWorker::execute(const wire::TaskCommand& o) {
    if (o.kind == wire::CommandKind::start) {
        start_task(o);
        changed();
        return;
    }
    const auto it = tasks_.find(o.task);
    if (it == tasks_.end() || it->second.attempt != o.attempt) return;
    auto& t = it->second;
    if (o.kind == wire::CommandKind::clear) {
        if (t.phase == TaskPhase::exited) tasks_.erase(it);
        return;
    }
    if (t.phase == TaskPhase::exited) return;
    const auto* job = world_.description(o.task.job);
    const bool saves = job->checkpoint_interval_s > 0 && o.grace_s >= job->checkpoint_duration_s;
    if (saves && t.phase == TaskPhase::running) {
        t.phase = TaskPhase::saving;
        t.next = clock_.now() + from_seconds(job->checkpoint_duration_s);
    } else if (t.phase != TaskPhase::saving || o.grace_s == 0) {
        t.phase = TaskPhase::exited;
        t.reason = ExitReason::stopped;
    }
    changed();
}

}  // namespace dunebridge::sim
