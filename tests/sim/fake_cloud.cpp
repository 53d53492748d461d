#include "sim/fake_cloud.hpp"

#include <algorithm>

namespace dunebridge::sim {

using sansio::HttpResult;
using wire::Writer;

FakeCloud::FakeCloud(Clock& clock, std::vector<wire::MachineType> types, std::size_t most_machines,
                     Millis list_lag, std::uint64_t seed, Events events)
    : clock_(clock),
      types_(std::move(types)),
      most_machines_(most_machines),
      list_lag_(list_lag),
      rng_(seed),
      fault_rng_(seed * 17 + 3),
      events_(std::move(events)) {}

HttpResult FakeCloud::handle(const std::string& method, const std::string& target,
                             const std::string& body) {
    if (outage_) return {503, Writer().map(1).text("error").text("trouble").take()};
    if (over_rate()) return {429, {}};
    if (target == "/machine_types") {
        Writer w;
        w.map(1).text("shapes").list(types_.size());
        for (const auto& t : types_) {
            w.map(9).text("name").text(t.name).text("cores").number(t.cores);
            w.text("accelerators").number(t.accelerators).text("ram_gb").number(t.ram_gb);
            w.text("cache_gb").number(t.cache_gb).text("rate").number(t.on_demand_price);
            w.text("low_price").number(t.spot_price).text("startup_s").number(t.startup_s);
            w.text("regions").list(t.zones.size());
            for (const auto& r : t.zones) w.text(r);
        }
        return {200, w.take()};
    }
    if (method == "POST" && target == "/rentals") return rent(body);
    if (method == "POST" && target == "/rentals/delete") return remove(body);
    if (method == "GET" && target.starts_with("/rentals")) return list(target);
    return {404, {}};
}

// Bursts of two seconds' worth are allowed.
bool FakeCloud::over_rate() {
    if (rps_ <= 0) return false;
    tokens_ = std::min(2 * rps_, tokens_ + rps_ * to_seconds(clock_.now() - refilled_));
    refilled_ = clock_.now();
    if (tokens_ >= 1) {
        tokens_ -= 1;
        return false;
    }
    ++refusals_;
    return true;
}

std::size_t FakeCloud::alive() const {
    return static_cast<std::size_t>(
        std::count_if(machines_.begin(), machines_.end(), [](const auto& m) {
            return m.second.gone == Instant::max() && m.second.failed == Instant::max();
        }));
}

bool FakeCloud::boot_fault_in(const std::string& zone) const {
    return clock_.now() < boot_fault_.until &&
           (boot_fault_.zone.empty() || boot_fault_.zone == zone);
}

HttpResult FakeCloud::rent(const std::string& body) {
    const auto request = wire::decode_scale_out_request(wire::Document::parse(body)->root());
    const auto known = claims_.find(request.idempotency_key);
    if (known != claims_.end()) return {200, known->second};
    std::vector<MachineName> hosts;
    const auto type = std::find_if(types_.begin(), types_.end(),
                                   [&](const auto& t) { return t.name == request.machine_type; });
    if (type == types_.end()) return {400, {}};
    while (hosts.size() < request.machine_count && alive() < most_machines_) {
        Machine m;
        m.row.host = MachineName(fmt::format("vm-{:06}", machines_.size()));
        m.row.endpoint = "worker:" + m.row.host.get();
        m.row.machine_type = request.machine_type;
        m.row.zone = request.zone;
        m.row.spot = request.spot;
        m.rented = clock_.now();
        hosts.push_back(m.row.host);
        machines_[m.row.host] = m;
        bool never_up = rng_() % 20 == 0;
        const bool boot_fault = boot_fault_in(request.zone);
        if (boot_fault) {
            never_up = std::uniform_real_distribution<>(0, 1)(fault_rng_) < boot_fault_.never;
        }
        if (never_up) continue;
        const double factor = boot_fault ? boot_fault_.factor : 1;
        const auto boot = from_seconds(type->startup_s * factor) * (60 + rng_() % 90) / 100;
        clock_.after(boot, [this, host = m.row.host] {
            auto& machine = machines_[host];
            if (machine.gone != Instant::max()) return;
            machine.row.phase = wire::MachinePhase::running;
            events_.up(machine.row);
        });
    }
    if (hosts.empty()) return {503, Writer().map(1).text("error").text("no capacity").take()};
    claims_[request.idempotency_key] = wire::encode_hosts(hosts);
    return {200, claims_[request.idempotency_key]};
}

HttpResult FakeCloud::remove(const std::string& body) {
    for (const auto& host : wire::decode_hosts(wire::Document::parse(body)->root())) {
        events_.returned(host);
        take(host);
    }
    return {200, {}};
}

void FakeCloud::take(const MachineName& host) {
    const auto it = machines_.find(host);
    if (it == machines_.end() || it->second.gone != Instant::max()) return;
    it->second.gone = clock_.now();
    events_.gone(host);
}

void FakeCloud::fail(const MachineName& host) {
    const auto it = machines_.find(host);
    if (it == machines_.end() || it->second.gone != Instant::max()) return;
    it->second.failed = clock_.now();
    events_.gone(host);
}

// As it was some time ago.
HttpResult FakeCloud::list(const std::string& target) {
    const auto at = clock_.now() - list_lag_ * static_cast<std::int64_t>(rng_() % 200) / 100;
    const auto cut = target.find("from=");
    const auto from = cut == std::string::npos ? std::string() : target.substr(cut + 5);
    std::vector<const Machine*> rows;
    bool more = false;
    for (const auto& [host, m] : machines_) {
        if (host.get() <= from || m.rented > at || m.gone <= at) continue;
        if (rows.size() == page_) {
            more = true;
            break;
        }
        rows.push_back(&m);
    }
    Writer w;
    w.map(2).text("hosts").list(rows.size());
    for (const auto* m : rows) {
        w.map(7).text("name_id").text(m->row.host.get()).text("endpoint").text(m->row.endpoint);
        w.text("shape").text(m->row.machine_type).text("region").text(m->row.zone);
        w.text("reclaimable").boolean(m->row.spot);
        const bool running = m->row.phase == wire::MachinePhase::running;
        w.text("phase").text(m->failed <= at ? "failed" : running ? "running" : "starting");
        w.text("held_s").number(to_seconds(at - m->rented));
    }
    w.text("has_next").boolean(more);
    return {200, w.take()};
}

}  // namespace dunebridge::sim
