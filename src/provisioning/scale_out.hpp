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
/// A request is on record before it is sent, so that a later leader can repeat it under the same
/// key and learn which machines it has brought: no machine is paid for and forgotten. The
/// references must outlive it.
class ScaleOut {
  public:
    ScaleOut(sansio::Context& context, CloudClient& cloud, coordination::Election& election,
             state::ClusterState& cluster_state, const state::ReleasedMachines& released_machines,
             const config::Config& config);

    /// Another term begins: requests on record are sent again.
    void reset();
    /// Records a request for machines, to be sent once it is committed. A request can hold only so
    /// many machines; for those above that the caller has to ask again.
    void request(const InstancePool& pool, std::size_t count);
    /// Sends the requests that are committed and not answered, as far as the cloud's rate permits.
    void send();
    /// Pools that have refused lately.
    std::set<InstancePool> in_backoff() const;
    /// Machines requested whose request the cloud has not answered, by pool.
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
    std::uint64_t request_count_ = 0;  // in this term
};

}  // namespace dunebridge::provisioning
