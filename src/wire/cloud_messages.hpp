/// \file
/// Messages of the cloud API: machine types, scale-out requests and the list of machines.
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
    double on_demand_price = 0;  ///< Price of an on-demand machine.
    double spot_price = 0;       ///< Current price of a spot machine.
    double startup_s = 0;        ///< Nominal boot time.
    std::vector<std::string> zones;
};

/// Decodes the list of machine types. Throws DecodeError.
std::vector<MachineType> decode_machine_types(Value body);

/// Returns whether an idle machine of this type can run a task that needs these resources and is
/// restricted to these machine types (nullopt: any type).
bool can_hold(const MachineType& type, const Resources& need,
              const std::optional<std::vector<std::string>>& machine_types);

/// A request for machines. The cloud grants requests with the same idempotency key only once.
struct ScaleOutRequest {
    std::string idempotency_key;
    std::string machine_type;
    std::string zone;
    bool spot = false;
    std::uint64_t machine_count = 0;
};

std::string encode(const ScaleOutRequest& request);
/// Decodes a scale-out request. Throws DecodeError.
ScaleOutRequest decode_scale_out_request(Value body);

/// State of a machine as the cloud lists it. States that are not known are decoded as `starting`.
enum class MachinePhase : std::uint8_t { starting, running, failed };

/// One entry of the cloud's list of machines.
struct ListedMachine {
    MachineName host;
    std::string endpoint;
    std::string machine_type;
    std::string zone;
    bool spot = false;
    MachinePhase phase = MachinePhase::starting;
    double age_s = 0;  ///< Seconds since the cloud granted the machine.
};

/// One page of the cloud's list of machines.
struct MachineListPage {
    std::vector<ListedMachine> machines;
    bool has_next = false;
};

/// Decodes one page of the list of machines. Throws DecodeError.
MachineListPage decode_machine_list(Value body);
/// Decodes a list of machine names: the response to a scale-out request, or the body of a deletion
/// request. Throws DecodeError.
std::vector<MachineName> decode_hosts(Value body);
/// Encodes a list of machine names, as decode_hosts() reads it.
std::string encode_hosts(const std::vector<MachineName>& hosts);

}  // namespace dunebridge::wire
