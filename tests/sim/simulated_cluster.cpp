#include "sim/simulated_cluster.hpp"

#include <algorithm>

namespace dunebridge::sim {

namespace {

config::Config make_config(const ScenarioOptions& options) {
    const double size = static_cast<double>(options.machines) / ScenarioOptions().machines;
    config::Config c;
    c.name = ControllerName("node-0");
    c.zones = {"a", "b"};
    c.teams = {{"red", 8 * size, 0, 24 * size, 0},
               {"blue", 8 * size, 0, 20 * size, 0},
               {"free", 0, 0, 0, 0}};
    if (options.guest_team) c.teams.push_back({"guest", 0, 0, 0, 0});
    c.heartbeat_interval = Millis(3000);
    c.worker_lease = Millis(15000);
    c.cancellation_deadline = Millis(40000);
    c.machine_list_lag = Millis(4000);
    c.cloud_rps = 5;
    if (options.large_fleet) {
        c.heartbeat_interval = Millis(8000);
        c.worker_lease = Millis(36000);
        c.cancellation_deadline = Millis(56000);
        c.machine_list_lag = Millis(8000);
        c.cloud_rps = 3;
        c.fd_limit = 2928;
    }
    return c;
}

std::vector<wire::MachineType> make_types() {
    return {{"small", 4, 0, 16, 50, 1, 0.2, 0.08, 12, {"a", "b"}},
            {"big", 16, 0, 64, 50, 1, 0.9, 0.3, 10, {"a", "b"}}};
}

}  // namespace

SimulatedCluster::SimulatedCluster(const ScenarioOptions& options)
    : options_(options),
      rng_(options.seed),
      severe_fault_rng_(options.seed * 31 + 5),
      config_(make_config(options)),
      state_(clock_),
      cloud_(clock_, make_types(), options.machines, Millis(4000), options.seed * 7 + 1,
             {[this](const wire::MachineListing& row) {
                  const auto types = make_types();
                  const auto type = std::find_if(types.begin(), types.end(), [&](const auto& t) {
                      return t.name == row.machine_type;
                  });
                  auto worker = std::make_unique<FakeWorker>(clock_, *this, config_, *type,
                                                             row.host, row.zone, row.spot, rng_());
                  workers_[row.host] = std::move(worker);
                  workers_[row.host]->start();
              },
              [this](const MachineName& host) {
                  const auto it = workers_.find(host);
                  if (it != workers_.end()) it->second->stop();
              },
              [this](const MachineName& host) {
                  const auto it = workers_.find(host);
                  if (it != workers_.end() && !it->second->present().empty()) {
                      ++returned_with_tasks_;
                  }
              }}) {
    nodes_.resize(3);
    faults_end_ = clock_.now() + from_seconds(options.faults_s);
    config_.kv_limits = options.limits;
    if (options.large_fleet) config_.kv_limits = config::KvLimits({180, 70, 16, 48});
    for (auto& node : nodes_) node.old_version = options.old_format > 0;
    for (std::size_t i = 0; i < nodes_.size(); ++i) boot(i);
    options.urgent_flow ? make_flow() : make_users(options.jobs);
    if (options.fault_every_s > 0) plan_fault();
    if (options.severe_faults) plan_severe_faults();
    if (!options.large_fleet) return;
    state_.set_limits({config_.kv_limits.rps(), config_.kv_limits.write_rps(),
                       config_.kv_limits.txn_ops(), config_.kv_limits.value_bytes(), 1000});
    cloud_.set_limits(config_.cloud_rps, 500);
    check_every_ = check_ledger_every_ = Millis(1000);
}

SimulatedCluster::~SimulatedCluster() = default;

// ---- the passing of time ----

void SimulatedCluster::step_once(Instant limit) {
    clock_.step(limit);
    // A large world is looked at every few milliseconds; what starts is checked as it starts.
    if (workers_.size() <= 40 || clock_.now() >= next_check_) {
        next_check_ = clock_.now() + check_every_;
        check();
    }
    if (clock_.now() < next_ledger_check_) return;
    check_ledger();
    next_ledger_check_ = clock_.now() + check_ledger_every_;
}

void SimulatedCluster::run_for(Millis span) {
    const auto end = clock_.now() + span;
    while (clock_.now() < end && violations_.empty()) step_once(end);
}

void SimulatedCluster::crash_leader(Millis down) {
    const auto i = leader();
    if (i < nodes_.size()) crash(i, down);
}

std::size_t SimulatedCluster::leader() const {
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
        if (nodes_[i].core && nodes_[i].core->leads()) return i;
    }
    return nodes_.size();
}

void SimulatedCluster::isolate_leader(Millis span) {
    const auto i = leader();
    if (i == nodes_.size()) return;
    auto& node = nodes_[i];
    node.from_state = node.from_nodes = Cut::hold;
    node.cut_until = clock_.now() + span;
    clock_.after(span, [this, i] { nodes_[i].from_state = nodes_[i].from_nodes = Cut::none; });
}

std::size_t SimulatedCluster::killed_by_lease() const {
    std::size_t sum = 0;
    for (const auto& [host, worker] : workers_) sum += worker->killed_by_lease();
    return sum;
}

std::optional<double> SimulatedCluster::largest_began_s() const {
    const User* largest = nullptr;
    for (const auto& [id, user] : users_) {
        if (!largest || user.spec.cores > largest->spec.cores) largest = &user;
    }
    if (!largest || largest->began == Instant::max()) return std::nullopt;
    return to_seconds(largest->began - largest->submit_at);
}

void SimulatedCluster::run() {
    const auto limit = faults_end_ + from_seconds(options_.drain_s);
    Instant quiet_until = Instant::max();
    while (clock_.now() < std::min(limit, quiet_until) && violations_.empty()) {
        step_once(limit);
        // Some time after the last end, so that late messages are seen to do no harm.
        if (quiet_until == Instant::max() && clock_.now() > faults_end_ && all_jobs_terminal()) {
            quiet_until = clock_.now() + Millis(45000);
        }
    }
}

}  // namespace dunebridge::sim
