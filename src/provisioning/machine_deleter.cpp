#include "provisioning/machine_deleter.hpp"

#include <algorithm>
#include <cstddef>
#include <iterator>

namespace dunebridge::provisioning {

namespace {
constexpr Millis kRetryDelay{1000};
constexpr std::size_t kMaxHostsPerRequest = 100;
}  // namespace

void MachineDeleter::reset() {
    queue_.clear();
    in_flight_ = false;
    retry_at_ = Instant{};
}

void MachineDeleter::send() {
    if (in_flight_ || context_.now() < retry_at_) return;
    if (queue_.empty() || !cloud_.try_acquire_request()) return;
    const auto count = std::min(queue_.size(), kMaxHostsPerRequest);
    const auto last = std::next(queue_.begin(), static_cast<std::ptrdiff_t>(count));
    const std::vector<MachineName> hosts(queue_.begin(), last);
    in_flight_ = true;
    cloud_.delete_machines(hosts, [this, hosts, generation = state_.generation()](bool confirmed) {
        if (state_.usable_in(generation)) handle_response(hosts, confirmed);
    });
}

void MachineDeleter::handle_response(const std::vector<MachineName>& hosts, bool confirmed) {
    in_flight_ = false;
    if (!confirmed) {
        retry_at_ = context_.now() + kRetryDelay;
        return;
    }
    for (const auto& host : hosts) {
        queue_.erase(host);
        released_machines_.add(host);
        if (auto* machine = state_.find_machine(host)) state_.remove_machine(*machine);
    }
}

}  // namespace dunebridge::provisioning
