#include "provisioning/provisioner.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace dunebridge::provisioning {

using sansio::LogLevel;
using state::JobState;
using state::Machine;

namespace {
constexpr Millis kResizeEvery{1000};
constexpr Millis kObserveFirst{20000};  // a new leader returns no idle machines before
constexpr double kLoadMemory_s = 45;
constexpr Millis kWarnEvery{60000};
constexpr double kNoLimit = 1e12;  // cores of a team that has none
}  // namespace

Provisioner::Provisioner(sansio::Context& port, coordination::Election& election,
                         state::ClusterState& cluster_state, const state::WorkerLiveness& liveness,
                         state::ReleasedMachines& released_machines,
                         state::MachineTypeCatalog& machine_types,
                         const state::RunTimeEstimator& run_time_estimator,
                         const config::Config& config)
    : context_(port),
      election_(election),
      state_(cluster_state),
      liveness_(liveness),
      types_(machine_types),
      run_time_estimator_(run_time_estimator),
      config_(config),
      cloud_(port, config.cloud_rps),
      machine_type_fetcher_(port, cloud_, machine_types),
      boot_monitor_(port, cluster_state, types_),
      scale_in_(port, cloud_, cluster_state, liveness, released_machines, types_, boot_monitor_,
                config),
      list_(port, cloud_, cluster_state, released_machines, config,
            [this](Machine& machine) { scale_in_.release(machine, ScaleInReason::failed); }),
      scale_outs_(port, cloud_, election, cluster_state, released_machines, config) {}

void Provisioner::reset() {
    list_.reset();
    boot_monitor_.reset();
    scale_in_.reset();
    scale_outs_.reset();
    next_resize_ = Instant{};
    last_load_ = Instant{};
    no_return_before_ = context_.now() + kObserveFirst;
}

void Provisioner::tick() {
    list_.tick();
    scale_in_.check_machines();
    if (context_.now() >= next_resize_) {
        next_resize_ = context_.now() + kResizeEvery;
        resize();
    }
    scale_in_.send_deletions();
    scale_outs_.send();
    context_.request_wake(next_resize_);
}

// ---- demand ----

// Whether a machine of the fleet, empty or not, could hold one such task.
bool Provisioner::fits_some_machine(const Demand& demand) const {
    const auto& machines = state_.machines();
    return std::any_of(machines.begin(), machines.end(), [&](const auto& entry) {
        const Machine& machine = entry.second;
        const auto* type = types_.find(machine.machine_type);
        const bool releasing =
            machine.instance.deleting || machine.cordoned || machine.preemption_at;
        if (releasing || boot_monitor_.replacement_allowed(machine) || !type) return false;
        if (machine.spot && !demand.spot_allowed) return false;
        if (!demand.zone.empty() && machine.zone != demand.zone) return false;
        return wire::can_hold(*type, demand.task_resources, demand.machine_types);
    });
}

Demand Provisioner::demand_of(const state::Job& job) const {
    Demand demand;
    demand.task_resources = job.task_resources();
    demand.spot_allowed = job.spec.spot_allowed;
    demand.machine_types = job.spec.machine_types;
    demand.zone = job.spec.zone.value_or("");
    demand.run_time = Seconds(run_time_estimator_.expected_s(job));
    demand.tasks = static_cast<double>(job.placeable_tasks());
    return demand;
}

// What waits and may start, as far as the teams' limits allow.
std::vector<Demand> Provisioner::demand() const {
    std::vector<Demand> out;
    std::map<std::string, double> room;  // a team's cores under its limit
    for (const auto& team : config_.teams) {
        const bool limited = team.cpus_max > 0;
        room[team.name] = limited ? team.cpus_max - state_.use(team.name).cpus : kNoLimit;
    }
    for (const auto& [id, job] : state_.jobs()) {
        if (job.state != JobState::active || job.waiting.empty() || job.is_blocked()) continue;
        auto demand = demand_of(job);
        const double cores = demand.task_resources.cores;
        auto& left = room[job.spec.team];
        if (cores > 0) demand.tasks = std::min(demand.tasks, std::floor(left / cores));
        if (demand.tasks <= 0) continue;
        demand.fits_existing_machine = fits_some_machine(demand);
        // For a job that fails everywhere nothing is rented that others do not need.
        if (job.failures.faulty && demand.fits_existing_machine) continue;
        left -= demand.tasks * cores;
        out.push_back(std::move(demand));
    }
    return out;
}

void Provisioner::observe_load() {
    double cores = 0;
    for (const auto& [host, machine] : state_.machines()) cores += machine.used.cores;
    const auto now = context_.now();
    const double dt = last_load_ == Instant{} ? 0 : to_seconds(now - last_load_);
    last_load_ = now;
    // A new leader takes what it finds for the load, until it has seen more.
    const double keep = dt > 0 ? std::exp(-dt / kLoadMemory_s) : 0.0;
    load_cores_ = load_cores_ * keep + cores * (1 - keep);
}

// ---- size ----

MachineCapacity Provisioner::capacity_of(const Machine& machine) const {
    const auto* type = types_.find(machine.machine_type);
    const auto& worker = machine.worker;
    // Up long ago by the list, and yet without a report in this term: most likely gone.
    const bool lost =
        !worker.heartbeat_received && !machine.instance.starting && liveness_.is_late(machine);
    const bool releasing = machine.instance.deleting || machine.cordoned || machine.preemption_at ||
                           boot_monitor_.replacement_allowed(machine);
    const bool idle = worker.heartbeat_received && machine.tasks.empty();
    MachineCapacity capacity;
    capacity.pool = {machine.machine_type, machine.zone, machine.spot};
    capacity.cores = type ? type->cores : 0;
    capacity.idle_for = idle ? context_.now() - machine.idle_since : Millis(0);
    capacity.available = type && !releasing && !lost;
    return capacity;
}

ScalingInput Provisioner::sizing_input() {
    ScalingInput input;
    input.machine_types = types_.all();
    input.demand = demand();
    input.average_used_cores = load_cores_;
    input.headroom = config_.tuning.headroom;
    input.shortest_boot = Seconds::max();
    for (const auto& type : input.machine_types) {
        input.shortest_boot = std::min(input.shortest_boot, Seconds(type.startup_s));
    }
    input.idle_timeout = config_.tuning.idle_return;
    for (const auto& [host, machine] : state_.machines()) {
        input.machines.push_back(capacity_of(machine));
        input.placed_cores += machine.used.cores;
    }
    input.pending = scale_outs_.pending();
    input.in_backoff = scale_outs_.in_backoff();
    input.unhealthy_pool_limits = boot_monitor_.unhealthy_pool_limits();
    return input;
}

// WorkerManager then share connections, each opened anew for its reports: that is slower, and costs
// processor time.
void Provisioner::warn_if_too_large(const ScalingInput& input) {
    const auto places = config::SocketBudget(config_.fd_limit).front;
    if (input.machines.size() <= places || context_.now() < next_warning_) return;
    next_warning_ = context_.now() + kWarnEvery;
    context_.log(LogLevel::error, "event=too_few_sockets machines={} places={} fd_limit={}",
                 input.machines.size(), places, config_.fd_limit);
}

void Provisioner::log_sizing(const ScalingInput& input, const ScalingPlan& plan) const {
    double up_cores = 0;
    std::size_t index = 0;
    for (const auto& [host, machine] : state_.machines()) {
        const auto& capacity = input.machines[index++];
        if (capacity.available && machine.worker.heartbeat_received) up_cores += capacity.cores;
    }
    context_.log(
        LogLevel::debug,
        "event=scaling_plan load={:.1f} placed={:.1f} target={:.1f} up={} machines={} waiting={}",
        load_cores_, input.placed_cores, plan.target_cores, up_cores, input.machines.size(),
        input.demand.size());
}

void Provisioner::resize() {
    if (types_.all().empty()) return;
    observe_load();
    boot_monitor_.update();
    const auto input = sizing_input();
    const auto plan = plan_scaling(input);
    log_sizing(input, plan);
    warn_if_too_large(input);
    for (const auto& step : plan.scale_out) scale_outs_.request(step.pool, step.count);
    if (context_.now() < no_return_before_) return;
    std::vector<Machine*> machines;
    for (auto& [host, machine] : state_.machines()) machines.push_back(&machine);
    for (const auto index : plan.scale_in) scale_in_.release(*machines[index], ScaleInReason::idle);
}

}  // namespace dunebridge::provisioning
