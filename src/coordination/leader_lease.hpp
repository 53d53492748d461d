/// \file
/// Lease to which a candidate or leader binds the leader key.
#pragma once

#include <functional>
#include <optional>

#include "base/types.hpp"
#include "config/config.hpp"
#include "kv/client.hpp"
#include "sansio/context.hpp"

namespace dunebridge::coordination {

/// Creates the lease and renews it before it expires. The lease only ensures that the key of a
/// failed leader is removed. The revision of the leader key guarantees that at most one leader can
/// write, see Election.
class LeaderLease {
  public:
    /// Called once; the argument states whether there is a lease now.
    using OnAcquired = std::function<void(bool)>;
    /// Called when an attempt to renew the lease has shown that it no longer exists.
    using OnExpired = std::function<void()>;

    /// The context, the client and the configuration must outlive this object.
    LeaderLease(sansio::Context& context, kv::KvClient& kv_client, const config::Config& config,
                OnExpired on_expired);

    /// Creates a lease. If there is one already, it is kept and `on_acquired` is called at once.
    void acquire(OnAcquired on_acquired);
    /// Renews the lease if a renewal is due; otherwise requests a wake-up for the next renewal.
    /// Does nothing while there is no lease or a renewal is in flight.
    void renew_if_due();
    /// Stops renewing the lease, which then expires.
    void abandon() { id_.reset(); }
    /// The id of the lease; empty while there is none.
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
