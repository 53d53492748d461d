/// \file
/// A cluster state without a controller around it, for tests of the components that read and write
/// it.
#pragma once

#include <fmt/format.h>

#include "config/config.hpp"
#include "coordination/election.hpp"
#include "kv/client.hpp"
#include "sansio/context.hpp"
#include "sim/controller_harness.hpp"
#include "state/cluster_state.hpp"

namespace dunebridge::sim {

/// A cluster state with the objects that it needs. Nothing is sent: there is no key-value store.
struct ClusterStateFixture {
    config::Config config;
    sansio::Context context{1, sansio::LogLevel::info};
    kv::KvClient store{context, config};
    coordination::Election election{context, store, config};
    state::ClusterState cluster_state{context, store, election};
    Instant now{Millis(1000000)};

    ClusterStateFixture() { advance(Millis(0)); }
    /// Lets time pass for the components; no timer runs.
    void advance(Millis span) {
        now += span;
        context.advance_clock(now, 0);
    }
    /// Adds a pending job numbered so.
    state::Job& add_job(int number, std::uint32_t task_count = 1) {
        kv::JobRecord record;
        record.spec = job(number, task_count);
        return *cluster_state.add_job(std::move(record), KeyRevision(1));
    }
    /// Adds a spot machine of type "big" named after the number.
    state::Machine& add_machine(int number, const std::string& zone = "a") {
        return cluster_state.add_machine(MachineName(fmt::format("vm-{:06}", number)), "big", zone,
                                         true);
    }
};

}  // namespace dunebridge::sim
