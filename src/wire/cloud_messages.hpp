/// \file
/// Messages of the cloud's interface: machine types, scale-out requests and the list of machines.
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

/// A machine type that the cloud offers.
struct MachineType {
    std::string name;
    double cores = 0;
    double accelerators = 0;
    double ram_gb = 0;
    double cache_gb = 0;
    double fetch_gb_per_s = 0;
    double on_demand_price = 0;  ///< price of an on-demand machine
    double spot_price = 0;       ///< present price of a spot machine
    double startup_s = 0;        ///< nominal boot time
    std::vector<std::string> zones;
};

/// Throws DecodeError.
std::vector<MachineType> decode_machine_types(Value body);

/// Whether an empty machine of the type can hold a task that needs these resources and allows these
/// machine types (absent: any).
bool can_hold(const MachineType& type, const Resources& need,
              const std::optional<std::vector<std::string>>& machine_types);

/// Asks for machines. The cloud grants a request with the same idempotency key once.
struct ScaleOutRequest {
    std::string idempotency_key;
    std::string machine_type;
    std::string zone;
    bool spot = false;
    std::uint64_t machine_count = 0;
};

std::string encode(const ScaleOutRequest& request);
/// Throws DecodeError.
ScaleOutRequest decode_scale_out_request(Value body);

/// State of a machine by the cloud's list.
enum class MachinePhase : std::uint8_t { starting, running, failed };

/// One row of the cloud's list of machines.
struct ListedMachine {
    MachineName host;
    std::string endpoint;
    std::string machine_type;
    std::string zone;
    bool spot = false;
    MachinePhase phase = MachinePhase::starting;
    double age_s = 0;  ///< seconds since the machine was granted
};

/// One page of the cloud's list of machines.
struct MachineListPage {
    std::vector<ListedMachine> machines;
    bool has_next = false;
};

/// Throws DecodeError.
MachineListPage decode_machine_list(Value body);
/// Throws DecodeError.
std::vector<MachineName> decode_hosts(Value body);
std::string encode_hosts(const std::vector<MachineName>& hosts);

}  // namespace dunebridge::wire
