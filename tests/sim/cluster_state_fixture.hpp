// A ledger without a controller around it, for tests of what reads it and keeps its own state in
// it.
#pragma once

#include <fmt/format.h>

#include "config/config.hpp"
#include "coordination/election.hpp"
#include "kv/client.hpp"
#include "sansio/context.hpp"
#include "sim/controller_harness.hpp"
#include "state/cluster_state.hpp"

namespace dunebridge::sim {

struct ClusterStateFixture {
    config::Config config;
    sansio::Context context{1, sansio::LogLevel::info};
    kv::KvClient store{context, config};
    coordination::Election election{context, store, config};
    state::ClusterState cluster_state{context, store, election};
    Instant now{Millis(1000000)};

    ClusterStateFixture() { advance(Millis(0)); }
    void advance(Millis span) {
        now += span;
        context.advance_clock(now, 0);
    }
    state::Job& add_job(int number, std::uint32_t task_count = 1) {
        kv::JobRecord record;
        record.spec = job(number, task_count);
        return *cluster_state.add_job(std::move(record), KeyRevision(1));
    }
    state::Machine& add_machine(int number, const std::string& zone = "a") {
        return cluster_state.add_machine(MachineName(fmt::format("vm-{:06}", number)), "big", zone,
                                         true);
    }
};

}  // namespace dunebridge::sim
