/// \file
/// Typed access to the cloud's interface, within the leader's share of its request rate.
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

/// The cloud's answer to a request for machines.
struct ScaleOutResult {
    enum class Outcome : std::uint8_t {
        granted,      ///< all or some of the machines requested
        no_capacity,  ///< none; the request is settled
        invalid,      ///< it will never be granted; the request is settled
        unknown       ///< it may have been granted: the request must be repeated
    };
    Outcome outcome = Outcome::unknown;
    std::vector<MachineName> hosts;
};

/// Encodes requests to the cloud and decodes its answers. Callbacks run in a later pass of the
/// event loop, once each; the client must outlive them.
class CloudClient {
  public:
    /// Called with the machine types; none if there was no valid answer.
    using OnMachineTypes = std::function<void(std::optional<std::vector<wire::MachineType>>)>;
    /// Called with one page of the machine list; none if there was no valid answer.
    using OnMachineList = std::function<void(std::optional<wire::MachineListPage>)>;
    /// Called with the answer to a request for machines, or with `unknown` if there was none.
    using OnScaleOut = std::function<void(const ScaleOutResult&)>;
    /// Called with true if the machines, and all that ran on them, are certainly gone. False proves
    /// nothing.
    using OnDeletion = std::function<void(bool confirmed)>;

    CloudClient(sansio::Context& context, double requests_per_second);

    /// Takes one request from the rate limit. If there is none left, returns false and asks the
    /// event loop to wake when there is. To be called before each request but list_machine_types(),
    /// for which the limit leaves room.
    bool try_acquire_request();

    /// Reads the machine types and their prices.
    void list_machine_types(OnMachineTypes on_response);
    /// Reads one page of the list of machines: those after the named one, or the first for an empty
    /// name.
    void list_machines(const std::string& after, OnMachineList on_response);
    /// Requests machines. Repeating a request with the same idempotency key brings no further ones.
    void provision(const wire::ScaleOutRequest& request, OnScaleOut on_response);
    /// Deletes machines. Repeating it is harmless.
    void delete_machines(const std::vector<MachineName>& hosts, OnDeletion on_response);

  private:
    ScaleOutResult decode_scale_out_result(const sansio::HttpResult& response);

    sansio::Context& context_;
    TokenBucket request_limiter_;
};

}  // namespace dunebridge::provisioning
