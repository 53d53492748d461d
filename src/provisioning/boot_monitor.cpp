#include "provisioning/boot_monitor.hpp"

#include <algorithm>
#include <cmath>

namespace dunebridge::provisioning {

using sansio::LogLevel;
using state::Machine;

namespace {
// Used for a machine whose type is unknown.
constexpr Seconds kDefaultNominalBootTime{60};
// The weights and the deviation factor have the values of RFC 6298 (TCP retransmission timer).
constexpr double kMeanWeight = 0.125;
constexpr double kDeviationWeight = 0.25;
constexpr double kInitialDeviationRatio = 0.25;  // to the nominal boot time
constexpr double kDeviationFactor = 4;
// Boots commonly take up to 1.5 times the nominal time, even after a series of quick boots.
constexpr double kMinLimitFactor = 1.5;  // to the nominal boot time
// This share of the fleet may be replaced at the same time because it is overdue, but at least this
// number of machines.
constexpr double kMaxReplacedShare = 0.2;
constexpr std::size_t kMinReplacementLimit = 2;
// The initial and the maximum backoff of an unhealthy machine type and zone, and the number of
// machines that may boot at a time as probes after the backoff.
constexpr Millis kMinBackoff{30000};
constexpr Millis kMaxBackoff{300000};
constexpr std::size_t kMaxProbes = 2;
// Bounds of the time after which a machine that has not booted is released: multiples of the
// nominal boot time, plus a margin. The longer time applies where no other machine boots either, as
// waiting is then as good as requesting again, and where boots are known to be slow. A machine that
// never boots is paid for until it is released.
constexpr double kMinTimeoutFactor = 3.5;
constexpr double kMaxTimeoutFactor = 6;
constexpr Millis kTimeoutMargin{20000};

Millis to_millis(Seconds duration) { return from_seconds(duration.count()); }
}  // namespace

void BootTimeEstimate::observe(Seconds boot_time, Seconds nominal) {
    if (!has_samples) {
        mean = nominal;
        deviation = kInitialDeviationRatio * nominal;
        has_samples = true;
    }
    const Seconds error = boot_time - mean;
    mean += kMeanWeight * error;
    deviation += kDeviationWeight * (std::chrono::abs(error) - deviation);
}

Seconds BootTimeEstimate::limit(Seconds nominal) const {
    const Seconds expected = has_samples ? mean : nominal;
    const Seconds expected_deviation = has_samples ? deviation : kInitialDeviationRatio * nominal;
    return std::max(expected + kDeviationFactor * expected_deviation, kMinLimitFactor * nominal);
}

void BootMonitor::reset() {
    for (auto& [type_in_zone, health] : boot_health_) {
        health.unhealthy = false;
        health.backoff = Millis(0);
        health.backoff_until = Instant{};
    }
}

Seconds BootMonitor::nominal_boot_time(const Machine& machine) const {
    const auto* type = machine_types_.find(machine.machine_type);
    return type ? Seconds(type->startup_s) : kDefaultNominalBootTime;
}

BootMonitor::BootHealth& BootMonitor::health_of(const Machine& machine) {
    return boot_health_[{machine.machine_type, machine.zone}];
}

void BootMonitor::update() {
    for (auto& [type_in_zone, health] : boot_health_) health.booting = 0;
    std::size_t fleet_size = 0;
    for (auto& [host, machine] : state_.machines()) {
        if (machine.instance.deleting) continue;
        ++fleet_size;
        if (machine.worker.heartbeat_received) {
            record_boot(machine);
        } else {
            check_overdue(machine);
        }
    }
    allow_replacements(fleet_size);
}

void BootMonitor::allow_replacements(std::size_t fleet_size) {
    const double share = kMaxReplacedShare * static_cast<double>(fleet_size);
    auto remaining = std::max(kMinReplacementLimit, static_cast<std::size_t>(share));
    for (auto& [host, machine] : state_.machines()) {
        auto& instance = machine.instance;
        instance.replacement_allowed = instance.overdue && !instance.deleting && remaining > 0;
        if (instance.replacement_allowed) --remaining;
    }
}

void BootMonitor::record_boot(Machine& machine) {
    auto& instance = machine.instance;
    if (!instance.boot_tracked && !instance.overdue) return;
    auto& health = health_of(machine);
    // The time of the request is known only for machines that were requested in this term.
    if (instance.boot_tracked) {
        const Seconds boot_time = context_.now() - instance.provisioned_at;
        health.boot_time.observe(boot_time, nominal_boot_time(machine));
    }
    instance.boot_tracked = false;
    instance.overdue = false;
    health.last_boot_at = context_.now();
    if (health.unhealthy) {
        context_.log(LogLevel::info, "event=instance_pool_recovered type={} zone={}",
                     machine.machine_type, machine.zone);
    }
    health.unhealthy = false;
    health.backoff = Millis(0);
}

void BootMonitor::check_overdue(Machine& machine) {
    auto& instance = machine.instance;
    if (!instance.starting || instance.overdue) return;
    auto& health = health_of(machine);
    const auto limit = to_millis(health.boot_time.limit(nominal_boot_time(machine)));
    if (context_.now() - instance.provisioned_at <= limit) {
        ++health.booting;
        return;
    }
    instance.overdue = true;
    record_overdue(machine);
}

// All machines of one request become overdue at the same time. They count as one failure, because
// the backoff is not extended while it is in effect.
void BootMonitor::record_overdue(const Machine& machine) {
    context_.log(LogLevel::info, "event=boot_overdue host={} type={} zone={} after_s={:.0f}",
                 machine.host.get(), machine.machine_type, machine.zone,
                 to_seconds(context_.now() - machine.instance.provisioned_at));
    auto& health = health_of(machine);
    if (health.last_boot_at >= machine.instance.provisioned_at) return;
    health.unhealthy = true;
    if (context_.now() < health.backoff_until) return;
    health.backoff = std::clamp(health.backoff * 2, kMinBackoff, kMaxBackoff);
    health.backoff_until = context_.now() + health.backoff;
}

bool BootMonitor::replacement_allowed(const Machine& machine) const {
    return machine.instance.replacement_allowed;
}

Millis BootMonitor::boot_timeout(const Machine& machine) const {
    const Seconds nominal = nominal_boot_time(machine);
    const auto max_timeout = to_millis(kMaxTimeoutFactor * nominal) + kTimeoutMargin;
    const auto health = boot_health_.find({machine.machine_type, machine.zone});
    if (health == boot_health_.end()) return max_timeout;
    const bool another_booted_since =
        health->second.last_boot_at >= machine.instance.provisioned_at;
    if (!another_booted_since) return max_timeout;
    const auto min_timeout = to_millis(kMinTimeoutFactor * nominal) + kTimeoutMargin;
    return std::clamp(to_millis(health->second.boot_time.limit(nominal)), min_timeout, max_timeout);
}

std::map<InstancePool, std::size_t> BootMonitor::unhealthy_pool_limits() const {
    std::map<InstancePool, std::size_t> limits;
    for (const auto& [type_in_zone, health] : boot_health_) {
        if (!health.unhealthy) continue;
        const bool in_backoff = context_.now() < health.backoff_until;
        const auto limit = in_backoff ? 0 : kMaxProbes - std::min(kMaxProbes, health.booting);
        for (const bool spot : {false, true}) {
            limits[{type_in_zone.machine_type, type_in_zone.zone, spot}] = limit;
        }
    }
    return limits;
}

}  // namespace dunebridge::provisioning
