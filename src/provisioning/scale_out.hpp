/// \file
/// Requests machines from the cloud.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "config/config.hpp"
#include "coordination/election.hpp"
#include "provisioning/cloud_client.hpp"
#include "provisioning/instance_pool.hpp"
#include "sansio/context.hpp"
#include "state/cluster_state.hpp"
#include "state/released_machines.hpp"

namespace dunebridge::provisioning {

/// Requests machines, with an idempotency key for each request.
///
/// A request is committed to the key-value store before it is sent. A later leader can therefore
/// repeat it with the same key and learn which machines were granted, so that no machine is paid
/// for without being known. The objects passed by reference must outlive it.
class ScaleOut {
  public:
    ScaleOut(sansio::Context& context, CloudClient& cloud, coordination::Election& election,
             state::ClusterState& cluster_state, const state::ReleasedMachines& released_machines,
             const config::Config& config);

    /// Resets the state for a new term: recorded requests without a response are sent again.
    void reset();
    /// Records a request for machines, which is sent once it is committed. The number of machines
    /// per request is limited; the caller must request the remaining ones later.
    void request(const InstancePool& pool, std::size_t count);
    /// Sends the committed requests that the cloud has not answered, as far as its rate limit
    /// permits.
    void send();
    /// Returns the pools that are in backoff because they recently lacked capacity.
    std::set<InstancePool> in_backoff() const;
    /// Returns, for each pool, the number of machines in requests that the cloud has not answered.
    std::map<InstancePool, std::size_t> outstanding_machines() const;

  private:
    struct Backoff {
        Instant until{};
        Millis duration{0};
    };
    std::string key_prefix() const;
    bool requested_in_this_term(const std::string& idempotency_key) const;
    bool may_send(const std::string& idempotency_key);
    void handle_response(const wire::ScaleOutRequest& request, const ScaleOutResult& result);
    void update_backoff(const wire::ScaleOutRequest& request, const ScaleOutResult& result);
    void add_machines(const std::string& idempotency_key, const ScaleOutResult& result);

    sansio::Context& context_;
    CloudClient& cloud_;
    coordination::Election& election_;
    state::ClusterState& state_;
    const state::ReleasedMachines& released_machines_;
    const config::Config& config_;
    std::set<std::string> in_flight_;          // idempotency keys
    std::map<std::string, Instant> retry_at_;  // by idempotency key
    std::map<InstancePool, Backoff> backoffs_;
    std::uint64_t request_count_ = 0;  // number of requests in this term
};

}  // namespace dunebridge::provisioning
