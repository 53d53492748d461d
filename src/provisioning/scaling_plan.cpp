#include "provisioning/scaling_plan.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace dunebridge::provisioning {

namespace {

constexpr double kOrdinaryBoots = 1.5;
constexpr double kOrdinaryIdle = 0.4;  // share of the idle time that dear machines get
constexpr double kUsefulLife_s = 150;  // boot time is paid for; this much use follows it
constexpr double kSparePenalty = 0.3;
constexpr double kCrowdPenalty = 0.02;

double rate_per_core(const ScalingInput& in, const InstancePool& m) {
    for (const auto& t : in.types) {
        if (t.name == m.machine_type && t.cores > 0)
            return (m.spot ? t.low_price : t.rate) / t.cores;
    }
    return 0;
}

// Whether some of what waits could run on such a machine.
bool of_use(const ScalingInput& in, const InstancePool& m) {
    const auto type = std::find_if(in.types.begin(), in.types.end(),
                                   [&](const auto& t) { return t.name == m.machine_type; });
    return type != in.types.end() &&
           std::any_of(in.demand.begin(), in.demand.end(), [&](const Demand& d) {
               return (d.spot_allowed || !m.spot) && (d.zone.empty() || d.zone == m.zone) &&
                      wire::can_hold(*type, d.need, d.machine_types);
           });
}

double work(const Demand& d) { return d.tasks * d.need.cores * d.seconds; }

struct Counts {
    double cores = 0;
    std::map<std::string, std::size_t> by_zone;
    std::map<InstancePool, std::size_t> rented;  // by this plan
};

// Whether the plan has taken from a market that does not deliver all that it may.
bool exhausted(const ScalingInput& in, const Counts& counts, const InstancePool& pool) {
    const auto allowance = in.allowances.find(pool);
    if (allowance == in.allowances.end()) return false;
    std::size_t rented = 0;
    for (const bool spot : {false, true}) {
        const auto it = counts.rented.find({pool.machine_type, pool.zone, spot});
        rented += it == counts.rented.end() ? 0 : it->second;
    }
    return rented >= allowance->second;
}

Counts count(const ScalingInput& in) {
    Counts c;
    std::map<std::string, double> cores_of;
    for (const auto& t : in.types) cores_of[t.name] = t.cores;
    const auto add = [&](const InstancePool& m, double cores, std::size_t n) {
        c.cores += cores * static_cast<double>(n);
        c.by_zone[m.zone] += n;
    };
    for (const auto& m : in.machines) {
        if (m.available) add(m.pool, m.cores, 1);
    }
    for (const auto& [pool, n] : in.pending) add(pool, cores_of[pool.machine_type], n);
    return c;
}

// What a machine is wanted for.
struct Wish {
    const Demand* demand = nullptr;  // null: anything
    double cores = 0;
    bool ordinary = false;  // ordinary machines may be taken
};

// The cheapest market for a core that can hold the demand, of those that deliver or of all; ties go
// to the zone with fewest machines, so that one zone's loss or a wave of takebacks hurts less.
const wire::MachineType* cheapest(const ScalingInput& in, const Counts& counts, const Wish& wish,
                                  bool last_resort, InstancePool& pool) {
    const auto* demand = wish.demand;
    const wire::MachineType* best = nullptr;
    double best_cost = std::numeric_limits<double>::max();
    for (const auto& t : in.types) {
        if (t.cores <= 0 || (demand && !wire::can_hold(t, demand->need, demand->machine_types)))
            continue;
        for (const auto& zone : t.zones) {
            if (demand && !demand->zone.empty() && demand->zone != zone) continue;
            for (const bool spot : {true, false}) {
                if (spot && demand && !demand->spot_allowed) continue;
                if (!spot && !wish.ordinary) continue;
                const InstancePool m{t.name, zone, spot};
                if (in.blocked.contains(m)) continue;
                if (!last_resort && exhausted(in, counts, m)) continue;
                // A machine larger than what is wanted is partly paid for nothing, at first.
                const double spare = std::max(0.0, t.cores - wish.cores) / t.cores;
                const auto it = counts.by_zone.find(zone);
                const double crowd = it == counts.by_zone.end() ? 0 : double(it->second);
                const double cost = (spot ? t.low_price : t.rate) / t.cores *
                                    (1 + kSparePenalty * spare) *
                                    (1 + t.startup_s / kUsefulLife_s) * (1 + kCrowdPenalty * crowd);
                if (cost >= best_cost) continue;
                best_cost = cost;
                best = &t;
                pool = m;
            }
        }
    }
    return best;
}

const wire::MachineType* choose(const ScalingInput& in, const Counts& counts, const Wish& wish,
                                InstancePool& pool) {
    const auto* type = cheapest(in, counts, wish, false, pool);
    return type ? type : cheapest(in, counts, wish, true, pool);
}

void add_rent(ScalingPlan& plan, Counts& counts, const InstancePool& pool, double cores) {
    counts.cores += cores;
    ++counts.by_zone[pool.zone];
    ++counts.rented[pool];
    for (auto& r : plan.rent) {
        if (r.pool == pool) {
            ++r.count;
            return;
        }
    }
    plan.rent.push_back({pool, 1});
}

double total_work(const ScalingInput& in) {
    constexpr double least_s = 5;  // short tasks do not fill a machine for the whole horizon
    double core_seconds = 0;
    for (const auto& d : in.demand) {
        core_seconds += d.tasks * d.need.cores * std::max(d.seconds, least_s);
    }
    return core_seconds;
}

double target_cores(const ScalingInput& in, double backlog) {
    double most_cores = 0;
    for (const auto& d : in.demand) most_cores += d.tasks * d.need.cores;
    const double for_backlog = std::min(most_cores, backlog / in.horizon_s);
    return std::max(in.load_cores * in.headroom, in.placed_cores + for_backlog);
}

// One machine for each demand that none of the present ones could hold.
std::size_t rent_for_misfits(const ScalingInput& in, ScalingPlan& plan, Counts& counts) {
    std::size_t rented = 0;
    for (const auto& d : in.demand) {
        if (d.fits_somewhere || d.tasks <= 0) continue;
        InstancePool pool;
        const auto* type = choose(in, counts, {&d, d.need.cores * d.tasks, true}, pool);
        if (!type) continue;
        add_rent(plan, counts, pool, type->cores);
        ++rented;
    }
    return rented;
}

// The widest like tasks decide what kind of machine is worth adding.
const Demand* widest(const ScalingInput& in) {
    const auto it =
        std::max_element(in.demand.begin(), in.demand.end(),
                         [](const Demand& a, const Demand& b) { return work(a) < work(b); });
    return it == in.demand.end() ? nullptr : &*it;
}

std::size_t rent_up_to_target(const ScalingInput& in, double backlog, std::size_t rented,
                              ScalingPlan& plan, Counts& counts) {
    constexpr std::size_t most_at_once = 40;
    const Demand* typical = widest(in);
    while (counts.cores < plan.target_cores && rented < most_at_once) {
        InstancePool pool;
        // Ordinary machines cost a multiple: worth it only for a backlog that would outlast a boot.
        const bool ordinary = backlog > counts.cores * in.boot_s * kOrdinaryBoots ||
                              (typical && !typical->spot_allowed);
        const auto* type =
            choose(in, counts, {typical, plan.target_cores - counts.cores, ordinary}, pool);
        if (!type) break;
        add_rent(plan, counts, pool, type->cores);
        ++rented;
    }
    return rented;
}

// Machines that have been idle for long enough, the dearest core first.
std::vector<std::size_t> long_idle(const ScalingInput& in) {
    std::vector<std::size_t> idle;
    for (std::size_t i = 0; i < in.machines.size(); ++i) {
        const auto& m = in.machines[i];
        const double wait = in.idle_return_s * (m.pool.spot ? 1.0 : kOrdinaryIdle);
        if (m.available && m.idle_s > wait) idle.push_back(i);
    }
    const auto rate = [&](std::size_t i) { return rate_per_core(in, in.machines[i].pool); };
    std::sort(idle.begin(), idle.end(), [&](std::size_t a, std::size_t b) {
        return std::pair(rate(a), in.machines[a].idle_s) >
               std::pair(rate(b), in.machines[b].idle_s);
    });
    return idle;
}

void scale_in(const ScalingInput& in, bool renting, ScalingPlan& plan, Counts& counts) {
    // What waits is no reason to keep a machine that none of it can use.
    const double for_load = std::max(in.load_cores * in.headroom, in.placed_cores);
    for (const auto i : long_idle(in)) {
        const bool useful = of_use(in, in.machines[i].pool);
        if (renting && useful) continue;
        const double least = useful ? plan.target_cores : for_load;
        if (counts.cores - in.machines[i].cores < least) continue;
        counts.cores -= in.machines[i].cores;
        plan.scale_in.push_back(i);
    }
}

}  // namespace

ScalingPlan plan(const ScalingInput& in) {
    ScalingPlan out;
    auto counts = count(in);
    const double backlog = total_work(in);
    out.target_cores = target_cores(in, backlog);
    auto rented = rent_for_misfits(in, out, counts);
    rented = rent_up_to_target(in, backlog, rented, out, counts);
    scale_in(in, rented > 0, out, counts);
    return out;
}

}  // namespace dunebridge::provisioning
