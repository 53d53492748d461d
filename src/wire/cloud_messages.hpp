// Messages of the cloud's interface: machine types, rentals and the machine list.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/resources.hpp"
#include "base/types.hpp"
#include "wire/codec.hpp"

namespace dunebridge::wire {

struct MachineType {
    std::string name;
    double cores = 0;
    double accelerators = 0;
    double ram_gb = 0;
    double cache_gb = 0;
    double fetch_gb_per_s = 0;
    double rate = 0;
    double low_price = 0;
    double startup_s = 0;
    std::vector<std::string> zones;
};
std::vector<MachineType> decode_machine_types(Value body);
// Whether a machine of the type, with nothing on it, can hold a task that needs so much and allows
// these types (none: any).
bool can_hold(const MachineType& type, const Resources& need,
              const std::optional<std::vector<std::string>>& machine_types);

struct ScaleOutRequest {
    std::string idempotency_key;
    std::string machine_type;
    std::string zone;
    bool spot = false;
    std::uint64_t how_many = 0;
};
std::string encode(const ScaleOutRequest& request);
ScaleOutRequest decode_scale_out_request(Value body);

enum class MachinePhase : std::uint8_t { starting, running, failed };
struct MachineListing {
    MachineName host;
    std::string endpoint;
    std::string machine_type;
    std::string zone;
    bool spot = false;
    MachinePhase phase = MachinePhase::starting;
    double held_s = 0;
};
struct MachineListPage {
    std::vector<MachineListing> hosts;
    bool has_next = false;
};
MachineListPage decode_machine_list(Value body);
std::vector<MachineName> decode_hosts(Value body);
std::string encode_hosts(const std::vector<MachineName>& hosts);

}  // namespace dunebridge::wire
