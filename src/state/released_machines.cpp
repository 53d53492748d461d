#include "state/released_machines.hpp"

namespace dunebridge::state {

namespace {
// This is longer than any message about a deleted machine can be delayed.
constexpr Millis kRetentionTime{900000};
}  // namespace

void ReleasedMachines::add(const MachineName& host) {
    deleted_at_[host] = context_.now();
    std::erase_if(deleted_at_, [&](const auto& entry) {
        return context_.now() - entry.second > kRetentionTime;
    });
}

}  // namespace dunebridge::state
