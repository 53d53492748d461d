/// \file
/// The lease to which a candidate or leader binds the leader key.
#pragma once

#include <functional>
#include <optional>

#include "base/types.hpp"
#include "config/config.hpp"
#include "kv/client.hpp"
#include "sansio/context.hpp"

namespace dunebridge::coordination {

/// Creates the lease and renews it in time. The lease only makes a dead leader's key go away; that
/// at most one leader can write rests on the revision of the leader key, see Election.
class LeaderLease {
  public:
    /// Called once, with whether there is a lease now.
    using OnAcquired = std::function<void(bool)>;
    /// Called when a renewal has found that the lease does not exist any more.
    using OnExpired = std::function<void()>;

    /// All but the callback must outlive the lease.
    LeaderLease(sansio::Context& context, kv::KvClient& kv_client, const config::Config& config,
                OnExpired on_expired);

    /// Creates a lease; an existing one is kept, and `on_acquired` is called at once.
    void acquire(OnAcquired on_acquired);
    /// Renews the lease if it is time, or requests to be run when it will be.
    void renew_if_due();
    /// Forgets the lease, which is then left to expire by itself.
    void abandon() { id_.reset(); }
    /// Nothing while there is no lease.
    std::optional<LeaseId> id() const { return id_; }

  private:
    void renew();
    void handle_renewal(LeaseId renewed, kv::LeaseRenewal renewal);

    sansio::Context& context_;
    kv::KvClient& kv_client_;
    const config::Config& config_;
    OnExpired on_expired_;
    std::optional<LeaseId> id_;
    bool renewal_in_flight_ = false;
    Instant next_renewal_at_{};
};

}  // namespace dunebridge::coordination
