#include "coordination/leader_lease.hpp"

#include <utility>

namespace dunebridge::coordination {

namespace {
// The lease is renewed three times within its duration, so that the loss of one request does not
// end the leadership. After a failed renewal the next attempt follows sooner.
constexpr int kRenewalsPerLease = 3;
constexpr int kRetriesPerLease = 10;
}  // namespace

LeaderLease::LeaderLease(sansio::Context& context, kv::KvClient& kv_client,
                         const config::Config& config, OnExpired on_expired)
    : context_(context),
      kv_client_(kv_client),
      config_(config),
      on_expired_(std::move(on_expired)) {}

void LeaderLease::acquire(OnAcquired on_acquired) {
    if (id_) {
        on_acquired(true);
        return;
    }
    const auto duration = config_.tuning.leader_lease;
    kv_client_.create_lease(duration, [this, duration, on_acquired = std::move(on_acquired)](
                                          std::optional<LeaseId> created) {
        if (created) {
            id_ = created;
            next_renewal_at_ = context_.now() + duration / kRenewalsPerLease;
        }
        on_acquired(created.has_value());
    });
}

void LeaderLease::renew_if_due() {
    if (!id_ || renewal_in_flight_) return;
    if (context_.now() >= next_renewal_at_) {
        renew();
    } else {
        context_.request_wake(next_renewal_at_);
    }
}

void LeaderLease::renew() {
    renewal_in_flight_ = true;
    const auto lease = *id_;
    kv_client_.renew_lease(lease, [this, lease](kv::LeaseRenewal renewal) {
        renewal_in_flight_ = false;
        handle_renewal(lease, renewal);
    });
}

void LeaderLease::handle_renewal(LeaseId renewed, kv::LeaseRenewal renewal) {
    const bool success = renewal == kv::LeaseRenewal::renewed;
    const int attempts_per_lease = success ? kRenewalsPerLease : kRetriesPerLease;
    next_renewal_at_ = context_.now() + config_.tuning.leader_lease / attempts_per_lease;
    if (renewal != kv::LeaseRenewal::expired) return;
    if (id_ == renewed) abandon();
    on_expired_();
}

}  // namespace dunebridge::coordination
