#include "provisioning/provisioner.hpp"

#include <algorithm>
#include <cstddef>
#include <vector>

namespace dunebridge::provisioning {

using sansio::LogLevel;
using state::Machine;

namespace {
constexpr Millis kResizeInterval{1000};
// A new leader releases no idle machines before it has observed the load for this time.
constexpr Millis kObservationTime{20000};
constexpr Millis kSocketWarningInterval{60000};
}  // namespace

Provisioner::Provisioner(sansio::Context& context, coordination::Election& election,
                         state::ClusterState& cluster_state, const state::WorkerLiveness& liveness,
                         state::ReleasedMachines& released_machines,
                         state::MachineTypeCatalog& machine_types,
                         const state::RunTimeEstimator& run_time_estimator,
                         const config::Config& config)
    : context_(context),
      election_(election),
      state_(cluster_state),
      liveness_(liveness),
      machine_types_(machine_types),
      config_(config),
      cloud_(context, config.cloud_rps),
      machine_type_fetcher_(context, cloud_, machine_types),
      boot_monitor_(context, cluster_state, machine_types),
      demand_collector_(cluster_state, boot_monitor_, machine_types, run_time_estimator, config),
      load_average_(context, cluster_state),
      scale_in_(context, cloud_, cluster_state, liveness, released_machines, machine_types,
                boot_monitor_, config),
      inventory_(context, cloud_, cluster_state, released_machines, config,
                 [this](Machine& machine) { scale_in_.release(machine, ScaleInReason::failed); }),
      scale_out_(context, cloud_, election, cluster_state, released_machines, config) {}

void Provisioner::reset() {
    inventory_.reset();
    boot_monitor_.reset();
    scale_in_.reset();
    scale_out_.reset();
    load_average_.reset();
    next_resize_ = Instant{};
    no_idle_release_before_ = context_.now() + kObservationTime;
}

void Provisioner::tick() {
    inventory_.tick();
    scale_in_.check_machines();
    if (context_.now() >= next_resize_) {
        next_resize_ = context_.now() + kResizeInterval;
        resize_fleet();
    }
    scale_in_.send_deletions();
    scale_out_.send();
    context_.request_wake(next_resize_);
}

void Provisioner::resize_fleet() {
    if (machine_types_.empty()) return;
    load_average_.observe();
    boot_monitor_.update();
    const auto input = scaling_input();
    const auto plan = plan_scaling(input);
    log_plan(input, plan);
    warn_if_too_few_sockets(input);
    execute(plan);
}

void Provisioner::execute(const ScalingPlan& plan) {
    for (const auto& step : plan.scale_out) scale_out_.request(step.pool, step.count);
    if (context_.now() < no_idle_release_before_) return;
    std::vector<Machine*> machines;
    for (auto& [host, machine] : state_.machines()) machines.push_back(&machine);
    for (const auto index : plan.scale_in) {
        scale_in_.release(*machines[index], ScaleInReason::idle);
    }
}

MachineCapacity Provisioner::capacity_of(const Machine& machine) const {
    const auto* type = machine_types_.find(machine.machine_type);
    const auto& worker = machine.worker;
    // The cloud's list shows the machine as booted, but it has sent no heartbeat in this term: most
    // likely it no longer exists.
    const bool lost =
        !worker.heartbeat_received && !machine.instance.starting && liveness_.is_late(machine);
    const bool idle = worker.heartbeat_received && machine.placements.empty();
    MachineCapacity capacity;
    capacity.pool = {machine.machine_type, machine.zone, machine.spot};
    capacity.cores = type ? type->cores : 0;
    capacity.idle_for = idle ? context_.now() - machine.idle_since : Millis(0);
    capacity.available = type && !is_excluded_from_capacity(machine, boot_monitor_) && !lost;
    return capacity;
}

ScalingInput Provisioner::scaling_input() {
    ScalingInput input;
    input.machine_types = machine_types_.all();
    input.demand = demand_collector_.collect();
    input.average_used_cores = load_average_.cores();
    input.headroom = config_.tuning.headroom;
    input.shortest_boot = Seconds::max();
    for (const auto& type : input.machine_types) {
        input.shortest_boot = std::min(input.shortest_boot, Seconds(type.startup_s));
    }
    input.idle_timeout = config_.tuning.idle_timeout;
    for (const auto& [host, machine] : state_.machines()) {
        input.machines.push_back(capacity_of(machine));
        input.placed_cores += machine.allocated.cores;
    }
    input.outstanding_machines = scale_out_.outstanding_machines();
    input.in_backoff = scale_out_.in_backoff();
    input.unhealthy_pool_limits = boot_monitor_.unhealthy_pool_limits();
    return input;
}

// With more machines than sockets, the workers have to share the sockets and each one opens a new
// connection for its heartbeats, which is slower and costs CPU time.
void Provisioner::warn_if_too_few_sockets(const ScalingInput& input) {
    const auto sockets = config::SocketBudget(config_.fd_limit).public_server;
    if (input.machines.size() <= sockets || context_.now() < next_socket_warning_) return;
    next_socket_warning_ = context_.now() + kSocketWarningInterval;
    context_.log(LogLevel::error, "event=too_few_sockets machines={} places={} fd_limit={}",
                 input.machines.size(), sockets, config_.fd_limit);
}

void Provisioner::log_plan(const ScalingInput& input, const ScalingPlan& plan) const {
    double up_cores = 0;
    std::size_t index = 0;
    for (const auto& [host, machine] : state_.machines()) {
        const auto& capacity = input.machines[index++];
        if (capacity.available && machine.worker.heartbeat_received) up_cores += capacity.cores;
    }
    context_.log(
        LogLevel::debug,
        "event=scaling_plan load={:.1f} placed={:.1f} target={:.1f} up={} machines={} waiting={}",
        load_average_.cores(), input.placed_cores, plan.target_cores, up_cores,
        input.machines.size(), input.demand.size());
}

}  // namespace dunebridge::provisioning
