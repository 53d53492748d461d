#include "provisioning/machine_type_fetcher.hpp"

#include <optional>
#include <utility>
#include <vector>

namespace dunebridge::provisioning {

namespace {
constexpr Millis kFetchInterval{60000};
constexpr Millis kRetryDelay{1000};
// While a request is in flight, the event loop is not woken for the next one before this delay.
constexpr Millis kInFlightWakeDelay{5000};
}  // namespace

void MachineTypeFetcher::tick(bool is_leader) {
    if (!catalog_.empty() && !is_leader) return;
    if (!in_flight_ && context_.now() >= next_fetch_) fetch();
    context_.request_wake(next_fetch_);
}

void MachineTypeFetcher::fetch() {
    in_flight_ = true;
    next_fetch_ = context_.now() + kInFlightWakeDelay;
    cloud_.list_machine_types([this](std::optional<std::vector<wire::MachineType>> types) {
        in_flight_ = false;
        next_fetch_ = context_.now() + kRetryDelay + context_.jitter(kRetryDelay);
        if (!types) return;
        catalog_.replace(std::move(*types));
        next_fetch_ = context_.now() + kFetchInterval;
    });
}

}  // namespace dunebridge::provisioning
