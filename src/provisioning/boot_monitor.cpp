#include "provisioning/boot_monitor.hpp"

#include <algorithm>
#include <cmath>

namespace dunebridge::provisioning {

using sansio::LogLevel;
using state::Machine;

namespace {
constexpr double kUnknownStartup_s = 60;
constexpr double kMeanWeight = 0.125;
constexpr double kDeviationWeight = 0.25;
constexpr double kFirstDeviation = 0.25;  // of the nominal time
constexpr double kDeviations = 4;
// Machines commonly take up to half as long again as the cloud says, also after a run of quick
// ones.
constexpr double kLeastLimit = 1.5;  // times the nominal time
// Of the fleet, so much may be overdue and replaced at the same time; and always so many machines.
constexpr double kReplacedShare = 0.2;
constexpr std::size_t kAlwaysReplaced = 2;
// A place that does not deliver is left alone for so long, at first and at most; then it is asked
// for so many machines at a time.
constexpr Millis kLeastPause{30000};
constexpr Millis kMaxPause{300000};
constexpr std::size_t kProbes = 2;
// Before a machine is returned, in nominal times and besides: at least, and at most. The longer
// time is for places where nothing else comes either, so that waiting is as good as asking again,
// and for those that are known to be slow. A machine that never comes is paid for until then.
constexpr double kLeastGiveUpBoots = 3.5;
constexpr double kMostGiveUpBoots = 6;
constexpr Millis kGiveUpMargin{20000};
}  // namespace

void BootTimeEstimate::observe(double boot_s, double nominal_s) {
    if (!learnt) {
        mean_s = nominal_s;
        deviation_s = kFirstDeviation * nominal_s;
        learnt = true;
    }
    const double error = boot_s - mean_s;
    mean_s += kMeanWeight * error;
    deviation_s += kDeviationWeight * (std::abs(error) - deviation_s);
}

double BootTimeEstimate::limit_s(double nominal_s) const {
    const double mean = learnt ? mean_s : nominal_s;
    const double deviation = learnt ? deviation_s : kFirstDeviation * nominal_s;
    return std::max(mean + kDeviations * deviation, kLeastLimit * nominal_s);
}

void BootMonitor::reset() {
    for (auto& [place, health] : places_) {
        health.failing = false;
        health.pause = Millis(0);
        health.avoid_until = Instant{};
    }
}

double BootMonitor::nominal_s(const Machine& machine) const {
    const auto* type = types_.find(machine.machine_type);
    return type ? type->startup_s : kUnknownStartup_s;
}

const BootMonitor::Health* BootMonitor::find(const Machine& machine) const {
    const auto it = places_.find({machine.machine_type, machine.zone});
    return it == places_.end() ? nullptr : &it->second;
}

void BootMonitor::update() {
    for (auto& [place, health] : places_) health.starting = 0;
    std::size_t fleet = 0;
    for (auto& [host, machine] : state_.machines()) {
        if (machine.instance.deleting) continue;
        ++fleet;
        machine.worker.heartbeat_received ? record_boot(machine) : check_overdue(machine);
    }
    auto left = std::max(kAlwaysReplaced,
                         static_cast<std::size_t>(kReplacedShare * static_cast<double>(fleet)));
    for (auto& [host, machine] : state_.machines()) {
        auto& instance = machine.instance;
        instance.replaced = instance.overdue && !instance.deleting && left > 0;
        if (instance.replaced) --left;
    }
}

// Only of machines rented by this leader in this term is it known when they were.
void BootMonitor::record_boot(Machine& machine) {
    auto& instance = machine.instance;
    if (!instance.boot_tracked && !instance.overdue) return;
    auto& health = places_[{machine.machine_type, machine.zone}];
    const auto boot_s = to_seconds(context_.now() - instance.provisioned_at);
    if (instance.boot_tracked) health.estimate.observe(boot_s, nominal_s(machine));
    instance.boot_tracked = instance.overdue = false;
    health.last_delivery = context_.now();
    if (health.failing) {
        context_.log(LogLevel::info, "event=instance_pool_recovered type={} zone={}",
                     machine.machine_type, machine.zone);
    }
    health.failing = false;
    health.pause = Millis(0);
}

void BootMonitor::check_overdue(Machine& machine) {
    auto& instance = machine.instance;
    if (!instance.starting || instance.overdue) return;
    auto& health = places_[{machine.machine_type, machine.zone}];
    const auto limit = from_seconds(health.estimate.limit_s(nominal_s(machine)));
    if (context_.now() - instance.provisioned_at <= limit) {
        ++health.starting;
        return;
    }
    instance.overdue = true;
    record_overdue(machine);
}

// The many machines of one request are overdue in the same moment: they count as one failure.
void BootMonitor::record_overdue(const Machine& machine) {
    context_.log(LogLevel::info, "event=boot_overdue host={} type={} zone={} after_s={:.0f}",
                 machine.host.get(), machine.machine_type, machine.zone,
                 to_seconds(context_.now() - machine.instance.provisioned_at));
    auto& health = places_[{machine.machine_type, machine.zone}];
    if (health.last_delivery >= machine.instance.provisioned_at) return;
    health.failing = true;
    if (context_.now() < health.avoid_until) return;
    health.pause = std::clamp(health.pause * 2, kLeastPause, kMaxPause);
    health.avoid_until = context_.now() + health.pause;
}

bool BootMonitor::to_replace(const Machine& machine) const { return machine.instance.replaced; }

Millis BootMonitor::release_after(const Machine& machine) const {
    const double nominal = nominal_s(machine);
    const auto* health = find(machine);
    const auto most = from_seconds(kMostGiveUpBoots * nominal) + kGiveUpMargin;
    const bool others_came = health && health->last_delivery >= machine.instance.provisioned_at;
    if (!others_came) return most;
    const auto least = from_seconds(kLeastGiveUpBoots * nominal) + kGiveUpMargin;
    return std::clamp(from_seconds(health->estimate.limit_s(nominal)), least, most);
}

std::map<InstancePool, std::size_t> BootMonitor::allowances() const {
    std::map<InstancePool, std::size_t> out;
    for (const auto& [place, health] : places_) {
        if (!health.failing) continue;
        const bool avoided = context_.now() < health.avoid_until;
        const auto allowance = avoided ? 0 : kProbes - std::min(kProbes, health.starting);
        for (const bool spot : {false, true}) {
            out[{place.machine_type, place.zone, spot}] = allowance;
        }
    }
    return out;
}

}  // namespace dunebridge::provisioning
