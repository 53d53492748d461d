// Rents machines from the cloud. A request is on record before it is sent, under an idempotency key
// with which a later leader repeats it and learns which machines it has brought.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "config/config.hpp"
#include "coordination/election.hpp"
#include "provisioning/cloud_client.hpp"
#include "provisioning/scaling_plan.hpp"
#include "sansio/context.hpp"
#include "state/cluster_state.hpp"
#include "state/released_machines.hpp"

namespace dunebridge::provisioning {

class ScaleOut {
  public:
    ScaleOut(sansio::Context& port, CloudClient& cloud, coordination::Election& election,
             state::ClusterState& cluster_state, const state::ReleasedMachines& released_machines,
             const config::Config& config);

    // Another term begins.
    void reset();
    // Asks for machines. More than one request can hold are asked for again by the caller.
    void request(const InstancePool& pool, std::size_t count);
    // Sends what is committed and not answered.
    void send();
    // Markets that have refused lately.
    std::set<InstancePool> in_backoff() const;
    // Machines asked for and not answered for, by market.
    std::map<InstancePool, std::size_t> pending() const;

  private:
    struct Refusal {
        Instant until{};
        Millis pause{0};
    };
    std::string key_prefix() const;
    bool asked_in_this_term(const std::string& idempotency_key) const;
    bool may_send(const std::string& idempotency_key);
    void answered(const wire::ScaleOutRequest& request, const ScaleOutResult& result);
    void refused(const InstancePool& pool);

    sansio::Context& context_;
    CloudClient& cloud_;
    coordination::Election& election_;
    state::ClusterState& state_;
    const state::ReleasedMachines& released_machines_;
    const config::Config& config_;
    std::set<std::string> in_flight_;          // idempotency keys
    std::map<std::string, Instant> retry_at_;  // by idempotency key
    std::map<InstancePool, Refusal> refusals_;
    std::uint64_t requests_ = 0;  // in this term
};

}  // namespace dunebridge::provisioning
