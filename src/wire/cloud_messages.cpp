#include "wire/cloud_messages.hpp"

#include <algorithm>

#include "wire/field_helpers.hpp"

namespace dunebridge::wire {

namespace {

constexpr Names<MachinePhase, 3> kMachinePhases{{{"starting", MachinePhase::starting},
                                                 {"running", MachinePhase::running},
                                                 {"failed", MachinePhase::failed}}};

}  // namespace

std::vector<MachineType> decode_machine_types(Value body) {
    const Value list = body["shapes"];
    if (!list.is_list()) invalid("shapes");
    std::vector<MachineType> out;
    for (std::size_t i = 0; i < list.size(); ++i) {
        const Value v = list.at(i);
        MachineType t;
        t.name = v["name"].need_text("name");
        t.cores = need_amount(v["cores"], "cores");
        t.accelerators = v["accelerators"].number().value_or(0);
        t.ram_gb = need_amount(v["ram_gb"], "ram_gb");
        t.cache_gb = v["cache_gb"].number().value_or(0);
        t.fetch_gb_per_s = v["fetch_gb_per_s"].number().value_or(0);
        t.rate = need_amount(v["rate"], "rate");
        t.low_price = v["low_price"].number().value_or(t.rate);
        t.startup_s = v["startup_s"].number().value_or(60);
        t.zones = text_list(v["regions"], "regions");
        out.push_back(std::move(t));
    }
    return out;
}

bool can_hold(const MachineType& type, const Resources& need,
              const std::optional<std::vector<std::string>>& machine_types) {
    if (machine_types && std::find(machine_types->begin(), machine_types->end(), type.name) ==
                             machine_types->end()) {
        return false;
    }
    return Resources{type.cores, type.accelerators, type.ram_gb}.holds(need);
}

std::string encode(const ScaleOutRequest& r) {
    Writer w;
    w.map(5)
        .text("claim")
        .text(r.idempotency_key)
        .text("shape")
        .text(r.machine_type)
        .text("region")
        .text(r.zone);
    w.text("reclaimable").boolean(r.spot).text("how_many").count(r.how_many);
    return w.take();
}

ScaleOutRequest decode_scale_out_request(Value body) {
    return {body["claim"].need_text("claim"), body["shape"].need_text("shape"),
            body["region"].need_text("region"), body["reclaimable"].need_bool("reclaimable"),
            body["how_many"].need_count("how_many")};
}

MachineListPage decode_machine_list(Value body) {
    const Value list = body["hosts"];
    if (!list.is_list()) invalid("hosts");
    MachineListPage page;
    page.has_next = body["has_next"].boolean().value_or(false);
    for (std::size_t i = 0; i < list.size(); ++i) {
        const Value v = list.at(i);
        MachineListing r;
        r.host = MachineName(v["name_id"].need_text("name_id"));
        r.endpoint = v["endpoint"].text().value_or("");
        r.machine_type = v["shape"].need_text("shape");
        r.zone = v["region"].need_text("region");
        r.spot = v["reclaimable"].boolean().value_or(false);
        r.phase = from_name(kMachinePhases, v["phase"].need_text("phase"))
                      .value_or(MachinePhase::starting);
        r.held_s = v["held_s"].number().value_or(0);
        page.hosts.push_back(std::move(r));
    }
    return page;
}

std::vector<MachineName> decode_hosts(Value body) {
    std::vector<MachineName> out;
    for (auto& s : text_list(body["hosts"], "hosts")) out.emplace_back(std::move(s));
    return out;
}

std::string encode_hosts(const std::vector<MachineName>& hosts) {
    Writer w;
    w.map(1).text("hosts").list(hosts.size());
    for (const auto& h : hosts) w.text(h.get());
    return w.take();
}

}  // namespace dunebridge::wire
