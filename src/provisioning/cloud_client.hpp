/// \file
/// Typed client of the cloud's API, limited to the leader's share of the cloud's request rate.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/token_bucket.hpp"
#include "sansio/context.hpp"
#include "wire/messages.hpp"

namespace dunebridge::provisioning {

/// The cloud's response to a request for machines.
struct ScaleOutResult {
    enum class Outcome : std::uint8_t {
        granted,      ///< some or all of the requested machines were granted
        no_capacity,  ///< no machine was granted; the request is final
        invalid,      ///< the request can never be granted; it is final
        unknown       ///< it may have been granted: it must be repeated
    };
    Outcome outcome = Outcome::unknown;
    std::vector<MachineName> hosts;
};

/// Encodes requests to the cloud and decodes its responses. Each callback runs once, in a later
/// iteration of the event loop; the client must outlive it.
class CloudClient {
  public:
    /// Called with the machine types, or with nullopt if there was no valid response.
    using OnMachineTypes = std::function<void(std::optional<std::vector<wire::MachineType>>)>;
    /// Called with one page of the machine list, or with nullopt if there was no valid response.
    using OnMachineList = std::function<void(std::optional<wire::MachineListPage>)>;
    /// Called with the result of a request for machines; its outcome is `unknown` if there was no
    /// conclusive response.
    using OnScaleOut = std::function<void(const ScaleOutResult&)>;
    /// Called with true if the cloud has confirmed that the machines, and with them all processes
    /// on them, no longer exist. False proves nothing.
    using OnDeletion = std::function<void(bool confirmed)>;

    CloudClient(sansio::Context& context, double requests_per_second);

    /// Takes one request from the rate limit. If none is available, returns false and requests a
    /// wake-up of the event loop for the time when one will be available. Must be called before
    /// each request except list_machine_types(), for which the rate limit leaves room.
    bool try_acquire_request();

    /// Requests the machine types and their prices.
    void list_machine_types(OnMachineTypes on_response);
    /// Requests one page of the list of machines: the page after the machine `after`, or the first
    /// page if `after` is empty.
    void list_machines(const std::string& after, OnMachineList on_response);
    /// Requests machines. Repeating a request with the same idempotency key grants no further ones.
    void provision(const wire::ScaleOutRequest& request, OnScaleOut on_response);
    /// Deletes machines. Repeating the request is harmless.
    void delete_machines(const std::vector<MachineName>& hosts, OnDeletion on_response);

  private:
    ScaleOutResult decode_scale_out_result(const sansio::HttpResult& response);

    sansio::Context& context_;
    TokenBucket request_limiter_;
};

}  // namespace dunebridge::provisioning
