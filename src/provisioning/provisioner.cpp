#include "provisioning/provisioner.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
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

Provisioner::Provisioner(sansio::Port& port, coordination::Election& election,
                         state::Ledger& ledger, workers::Workers& workers,
                         const config::Config& config)
    : port_(port),
      election_(election),
      ledger_(ledger),
      workers_(workers),
      config_(config),
      cloud_(port, config.cloud_rps),
      types_(port, cloud_),
      startups_(port, ledger, types_),
      returns_(port, cloud_, ledger, workers, types_, startups_, config),
      list_(port, cloud_, ledger, workers, config,
            [this](Machine& machine) { returns_.give_up(machine, ReturnReason::failed); }),
      rentals_(port, cloud_, election, ledger, workers, config) {}

void Provisioner::reset() {
    list_.reset();
    startups_.reset();
    returns_.reset();
    rentals_.reset();
    next_resize_ = Instant{};
    last_load_ = Instant{};
    no_return_before_ = port_.now() + kObserveFirst;
}

void Provisioner::tick() {
    list_.tick();
    returns_.check();
    if (port_.now() >= next_resize_) {
        next_resize_ = port_.now() + kResizeEvery;
        resize();
    }
    returns_.send_deletions();
    rentals_.send();
    port_.wake_at(next_resize_);
}

// ---- demand ----

// Whether a machine of the fleet, empty or not, could hold one such task.
bool Provisioner::fits_some_machine(const Demand& demand) const {
    const auto& machines = ledger_.machines();
    return std::any_of(machines.begin(), machines.end(), [&](const auto& entry) {
        const Machine& machine = entry.second;
        const auto* type = types_.find(machine.machine_type);
        const bool leaving = machine.cloud.deleting || machine.draining || machine.taken_at;
        if (leaving || startups_.to_replace(machine) || !type) return false;
        if (machine.spot && !demand.spot_allowed) return false;
        if (!demand.zone.empty() && machine.zone != demand.zone) return false;
        return wire::can_hold(*type, demand.need, demand.machine_types);
    });
}

Demand Provisioner::demand_of(const state::Job& job) const {
    Demand demand;
    demand.need = job.need();
    demand.spot_allowed = job.spec.spot_allowed;
    demand.machine_types = job.spec.machine_types;
    demand.zone = job.spec.zone.value_or("");
    demand.seconds = run_times_.expected_s(job);
    demand.tasks = static_cast<double>(job.placeable());
    return demand;
}

// What waits and may start, as far as the teams' limits allow.
std::vector<Demand> Provisioner::demand() const {
    std::vector<Demand> out;
    std::map<std::string, double> room;  // a team's cores under its limit
    for (const auto& team : config_.teams) {
        const bool limited = team.cpus_max > 0;
        room[team.name] = limited ? team.cpus_max - ledger_.use(team.name).cpus : kNoLimit;
    }
    for (const auto& [id, job] : ledger_.jobs()) {
        if (job.state != JobState::open || job.waiting.empty() || job.waits()) continue;
        auto demand = demand_of(job);
        const double cores = demand.need.cores;
        auto& left = room[job.spec.team];
        if (cores > 0) demand.tasks = std::min(demand.tasks, std::floor(left / cores));
        if (demand.tasks <= 0) continue;
        demand.fits_somewhere = fits_some_machine(demand);
        // For a job that fails everywhere nothing is rented that others do not need.
        if (job.failures.faulty && demand.fits_somewhere) continue;
        left -= demand.tasks * cores;
        out.push_back(std::move(demand));
    }
    return out;
}

void Provisioner::observe_load() {
    double cores = 0;
    for (const auto& [host, machine] : ledger_.machines()) cores += machine.used.cores;
    const auto now = port_.now();
    const double dt = last_load_ == Instant{} ? 0 : to_seconds(now - last_load_);
    last_load_ = now;
    // A new leader takes what it finds for the load, until it has seen more.
    const double keep = dt > 0 ? std::exp(-dt / kLoadMemory_s) : 0.0;
    load_cores_ = load_cores_ * keep + cores * (1 - keep);
}

// ---- size ----

Capacity Provisioner::capacity_of(const Machine& machine) const {
    const auto* type = types_.find(machine.machine_type);
    const auto& worker = machine.worker;
    // Up long ago by the list, and yet without a report in this term: most likely gone.
    const bool lost = !worker.reported && !machine.cloud.starting && workers_.late(machine);
    const bool leaving = machine.cloud.deleting || machine.draining || machine.taken_at ||
                         startups_.to_replace(machine);
    const bool idle = worker.reported && machine.tasks.empty();
    Capacity capacity;
    capacity.market = {machine.machine_type, machine.zone, machine.spot};
    capacity.cores = type ? type->cores : 0;
    capacity.idle_s = idle ? to_seconds(port_.now() - machine.idle_since) : 0.0;
    capacity.available = type && !leaving && !lost;
    return capacity;
}

SizingInput Provisioner::sizing_input() {
    SizingInput input;
    input.types = types_.all();
    input.demand = demand();
    input.load_cores = load_cores_;
    input.headroom = config_.tuning.headroom;
    input.boot_s = std::numeric_limits<double>::max();
    for (const auto& type : input.types) input.boot_s = std::min(input.boot_s, type.startup_s);
    input.idle_return_s = to_seconds(config_.tuning.idle_return);
    for (const auto& [host, machine] : ledger_.machines()) {
        input.machines.push_back(capacity_of(machine));
        input.placed_cores += machine.used.cores;
    }
    input.pending = rentals_.pending();
    input.blocked = rentals_.blocked();
    input.allowances = startups_.allowances();
    return input;
}

// Workers then share connections, each opened anew for its reports: that is slower, and costs
// processor time.
void Provisioner::warn_if_too_large(const SizingInput& input) {
    const auto places = config::SocketBudget(config_.fd_limit).front;
    if (input.machines.size() <= places || port_.now() < next_warning_) return;
    next_warning_ = port_.now() + kWarnEvery;
    port_.log(LogLevel::error, "event=too_few_sockets machines={} places={} fd_limit={}",
              input.machines.size(), places, config_.fd_limit);
}

void Provisioner::log_sizing(const SizingInput& input, const SizingPlan& plan) const {
    double up_cores = 0;
    std::size_t index = 0;
    for (const auto& [host, machine] : ledger_.machines()) {
        const auto& capacity = input.machines[index++];
        if (capacity.available && machine.worker.reported) up_cores += capacity.cores;
    }
    port_.log(LogLevel::debug,
              "event=sizing load={:.1f} placed={:.1f} target={:.1f} up={} machines={} waiting={}",
              load_cores_, input.placed_cores, plan.target_cores, up_cores, input.machines.size(),
              input.demand.size());
}

void Provisioner::resize() {
    if (types_.all().empty()) return;
    observe_load();
    startups_.update();
    const auto input = sizing_input();
    const auto sizing = plan(input);
    log_sizing(input, sizing);
    warn_if_too_large(input);
    for (const auto& rent : sizing.rent) rentals_.request(rent.market, rent.count);
    if (port_.now() < no_return_before_) return;
    std::vector<Machine*> machines;
    for (auto& [host, machine] : ledger_.machines()) machines.push_back(&machine);
    for (const auto index : sizing.give_back)
        returns_.give_up(*machines[index], ReturnReason::idle);
}

}  // namespace dunebridge::provisioning
