// Typed access to the cloud's interface, within the leader's share of its request rate.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/token_bucket.hpp"
#include "kv/client.hpp"
#include "sansio/context.hpp"
#include "wire/messages.hpp"

namespace dunebridge::provisioning {

struct ScaleOutResult {
    enum class Outcome : std::uint8_t {
        granted,      // all or some of the machines asked for
        no_capacity,  // none, and the request is settled
        invalid,      // never granted: the request is settled
        unknown       // it may have been granted: the request must be repeated
    };
    Outcome outcome = Outcome::unknown;
    std::vector<MachineName> hosts;
};

class CloudClient {
  public:
    CloudClient(sansio::Context& port, double requests_per_second);

    // Takes a request from the budget. If there is none, the core wakes when there will be.
    bool take_request();

    // The caller takes a request from the budget first, but for the machine types, for which the
    // budget leaves room.
    void machine_types(std::function<void(std::optional<std::vector<wire::MachineType>>)> then);
    // One page of the list of machines, those after the host; none if there is no answer.
    void list_machines(const std::string& after,
                       std::function<void(std::optional<wire::MachineListPage>)> then);
    void rent(const wire::ScaleOutRequest& request,
              std::function<void(const ScaleOutResult&)> then);
    // True if the machines, and all that ran on them, are certainly gone.
    void delete_machines(const std::vector<MachineName>& hosts, std::function<void(bool)> then);

  private:
    ScaleOutResult read_rental(const sansio::HttpResult& reply);

    sansio::Context& context_;
    TokenBucket budget_;
};

}  // namespace dunebridge::provisioning
