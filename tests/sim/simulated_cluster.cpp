#include "sim/simulated_cluster.hpp"

#include <algorithm>

#include "kv/keys.hpp"

namespace dunebridge::sim {

namespace {
constexpr std::size_t kControllers = 3;
constexpr Millis kListLag{4000};
constexpr std::size_t kSmallFleet = 40;  // up to which every event is followed by a check
}  // namespace

SimulatedCluster::SimulatedCluster(const ScenarioOptions& options)
    : sim_(options),
      kv_store_(sim_.clock),
      cloud_(sim_.clock, machine_types(), options.machines, kListLag, options.seed * 7 + 1,
             cloud_events()),
      controllers_(sim_, kControllers),
      network_(sim_, controllers_, kv_store_, cloud_, machines_),
      users_(sim_, controllers_),
      invariants_(sim_, kv_store_, machines_, users_, network_),
      faults_({sim_, controllers_, network_, users_, machines_, kv_store_, cloud_}),
      random_faults_({sim_, controllers_, network_, users_, machines_, kv_store_, cloud_},
                     faults_) {
    controllers_.set_transport([this](std::size_t index, sansio::HttpCall call) {
        network_.call(index, std::move(call));
    });
    network_.set_on_repeated_command(
        [this](const MachineName& host, const wire::CommandBatch& batch, bool refused) {
            count_repeated_command(host, batch, refused);
        });
    controllers_.boot_all();
    if (options.urgent_flow) {
        users_.add_urgent_flow();
    } else {
        users_.add_random_jobs(options.jobs);
    }
    if (options.fault_every_s > 0) random_faults_.schedule_faults();
    if (options.severe_faults) random_faults_.schedule_severe_faults();
    if (options.large_fleet) enforce_site_limits();
}

FakeCloud::Events SimulatedCluster::cloud_events() {
    return {[this](const wire::ListedMachine& listing) { start_worker(listing); },
            [this](const MachineName& host) {
                const auto it = machines_.find(host);
                if (it != machines_.end()) it->second->stop();
            },
            [this](const MachineName& host) {
                const auto it = machines_.find(host);
                if (it != machines_.end() && !it->second->present().empty()) {
                    ++sim_.statistics.scaled_in_with_tasks;
                }
            }};
}

void SimulatedCluster::start_worker(const wire::ListedMachine& listing) {
    const auto types = machine_types();
    const auto type = std::find_if(types.begin(), types.end(),
                                   [&](const auto& t) { return t.name == listing.machine_type; });
    WorkerHost& host = *this;
    auto worker = std::make_unique<FakeWorker>(sim_.clock, host, sim_.config, *type, listing.host,
                                               listing.zone, listing.spot, sim_.rng());
    machines_[listing.host] = std::move(worker);
    machines_[listing.host]->start();
}

void SimulatedCluster::count_repeated_command(const MachineName& host,
                                              const wire::CommandBatch& batch, bool refused) {
    auto& statistics = sim_.statistics;
    if (refused) ++statistics.repeated_commands_fenced;
    for (const auto& command : batch.commands) {
        if (command.kind != wire::CommandKind::start) continue;
        const bool moved = std::any_of(machines_.begin(), machines_.end(), [&](const auto& other) {
            return other.first != host && other.second->has(command.task);
        });
        const auto cancelled_at = users_.at(command.task.job).cancellation_seen_at;
        if (moved) ++statistics.repeated_starts_after_move;
        if (cancelled_at < sim_.clock.now()) ++statistics.repeated_starts_after_cancellation;
    }
}

void SimulatedCluster::enforce_site_limits() {
    constexpr std::size_t kv_page = 1000;
    constexpr std::size_t cloud_page = 500;
    const auto& limits = sim_.config.kv_limits;
    kv_store_.set_limits(
        {limits.rps(), limits.write_rps(), limits.txn_ops(), limits.value_bytes(), kv_page});
    cloud_.set_limits(sim_.config.cloud_rps, cloud_page);
    check_every_ = check_records_every_ = Millis(1000);
}

void SimulatedCluster::step_once(Instant limit) {
    sim_.clock.step(limit);
    const auto now = sim_.clock.now();
    if (machines_.size() <= kSmallFleet || now >= next_check_) {
        next_check_ = now + check_every_;
        invariants_.check();
    }
    if (now < next_record_check_) return;
    invariants_.check_records();
    next_record_check_ = now + check_records_every_;
}

void SimulatedCluster::run_for(Millis span) {
    const auto end = sim_.clock.now() + span;
    while (sim_.clock.now() < end && sim_.violations.empty()) step_once(end);
}

void SimulatedCluster::run() {
    constexpr Millis quiet_time{45000};
    const auto limit = sim_.faults_end + from_seconds(sim_.options.drain_s);
    Instant quiet_until = Instant::max();
    while (sim_.clock.now() < std::min(limit, quiet_until) && sim_.violations.empty()) {
        step_once(limit);
        // Some time after the last job's end, so that late messages are seen to do no harm.
        if (quiet_until == Instant::max() && sim_.clock.now() > sim_.faults_end &&
            users_.all_jobs_terminal()) {
            quiet_until = sim_.clock.now() + quiet_time;
        }
    }
}

std::string SimulatedCluster::describe_violations() const {
    std::string out;
    for (const auto& line : sim_.violations) out += line + "\n";
    return out;
}

std::uint64_t SimulatedCluster::record_format() const {
    const auto mark = wire::Document::parse(kv_store_.value(kv::kFormatMarkerKey));
    return mark ? mark->root()["v"].need_count("v") : config::kChunkFormat;
}

std::size_t SimulatedCluster::machines_up() const {
    return static_cast<std::size_t>(std::count_if(machines_.begin(), machines_.end(),
                                                  [](const auto& m) { return !m.second->gone(); }));
}

std::size_t SimulatedCluster::killed_by_lease() const {
    std::size_t sum = 0;
    for (const auto& [host, worker] : machines_) sum += worker->killed_by_lease();
    return sum;
}

}  // namespace dunebridge::sim
