#include "wire/cloud_messages.hpp"

#include <algorithm>
#include <utility>

#include "wire/field_helpers.hpp"

namespace dunebridge::wire {

namespace {

constexpr EnumNames<MachinePhase, 3> kMachinePhases{{{"starting", MachinePhase::starting},
                                                     {"running", MachinePhase::running},
                                                     {"failed", MachinePhase::failed}}};

// Boot time assumed for a machine type for which the cloud states none.
constexpr double kDefaultStartup_s = 60;

MachineType decode_machine_type(Value value) {
    MachineType type;
    type.name = value["name"].need_text("name");
    type.cores = need_amount(value["cores"], "cores");
    type.accelerators = value["accelerators"].number().value_or(0);
    type.ram_gb = need_amount(value["ram_gb"], "ram_gb");
    type.cache_gb = value["cache_gb"].number().value_or(0);
    type.fetch_gb_per_s = value["fetch_gb_per_s"].number().value_or(0);
    type.on_demand_price = need_amount(value["rate"], "rate");
    type.spot_price = value["low_price"].number().value_or(type.on_demand_price);
    type.startup_s = value["startup_s"].number().value_or(kDefaultStartup_s);
    type.zones = need_text_list(value["regions"], "regions");
    return type;
}

ListedMachine decode_listed_machine(Value value) {
    ListedMachine machine;
    machine.host = MachineName(value["name_id"].need_text("name_id"));
    machine.endpoint = value["endpoint"].text().value_or("");
    machine.machine_type = value["shape"].need_text("shape");
    machine.zone = value["region"].need_text("region");
    machine.spot = value["reclaimable"].boolean().value_or(false);
    const auto phase = from_name(kMachinePhases, value["phase"].need_text("phase"));
    machine.phase = phase.value_or(MachinePhase::starting);
    machine.age_s = value["held_s"].number().value_or(0);
    return machine;
}

}  // namespace

std::vector<MachineType> decode_machine_types(Value body) {
    const Value list = body["shapes"];
    if (!list.is_list()) throw_invalid_field("shapes");
    std::vector<MachineType> types;
    for (std::size_t i = 0; i < list.size(); ++i) types.push_back(decode_machine_type(list.at(i)));
    return types;
}

bool can_hold(const MachineType& type, const Resources& need,
              const std::optional<std::vector<std::string>>& machine_types) {
    if (machine_types && std::find(machine_types->begin(), machine_types->end(), type.name) ==
                             machine_types->end()) {
        return false;
    }
    return Resources{type.cores, type.accelerators, type.ram_gb}.holds(need);
}

std::string encode(const ScaleOutRequest& request) {
    constexpr std::size_t fields = 5;
    Writer writer;
    writer.map(fields);
    writer.text("claim").text(request.idempotency_key);
    writer.text("shape").text(request.machine_type);
    writer.text("region").text(request.zone);
    writer.text("reclaimable").boolean(request.spot);
    writer.text("how_many").count(request.machine_count);
    return writer.take();
}

ScaleOutRequest decode_scale_out_request(Value body) {
    return {body["claim"].need_text("claim"), body["shape"].need_text("shape"),
            body["region"].need_text("region"), body["reclaimable"].need_bool("reclaimable"),
            body["how_many"].need_count("how_many")};
}

MachineListPage decode_machine_list(Value body) {
    const Value list = body["hosts"];
    if (!list.is_list()) throw_invalid_field("hosts");
    MachineListPage page;
    page.has_next = body["has_next"].boolean().value_or(false);
    for (std::size_t i = 0; i < list.size(); ++i) {
        page.machines.push_back(decode_listed_machine(list.at(i)));
    }
    return page;
}

std::vector<MachineName> decode_hosts(Value body) {
    std::vector<MachineName> hosts;
    for (auto& name : need_text_list(body["hosts"], "hosts")) hosts.emplace_back(std::move(name));
    return hosts;
}

std::string encode_hosts(const std::vector<MachineName>& hosts) {
    Writer writer;
    writer.map(1).text("hosts").list(hosts.size());
    for (const auto& host : hosts) writer.text(host.get());
    return writer.take();
}

}  // namespace dunebridge::wire
