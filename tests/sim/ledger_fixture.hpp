// A ledger without a controller around it, for tests of what reads it and keeps its own state in
// it.
#pragma once

#include <fmt/format.h>

#include "cluster/election.hpp"
#include "core/config.hpp"
#include "core/ledger.hpp"
#include "core/port.hpp"
#include "sim/script.hpp"
#include "state/store.hpp"

namespace dunebridge::sim {

struct LedgerFixture {
    core::Config config;
    core::Port port{1, core::LogLevel::info};
    state::Store store{port, config};
    cluster::Election election{port, store, config};
    core::Ledger ledger{port, store, election};
    Instant now{Millis(1000000)};

    LedgerFixture() { pass(Millis(0)); }
    void pass(Millis span) {
        now += span;
        port.set_time(now, 0);
    }
    core::Job& add_job(int number, std::uint32_t task_count = 1) {
        state::JobRecord record;
        record.spec = job(number, task_count);
        return *ledger.add_job(std::move(record), KeyRev(1));
    }
    core::Machine& add_machine(int number, const std::string& zone = "a") {
        return ledger.add_machine(HostName(fmt::format("vm-{:06}", number)), "big", zone, true);
    }
};

}  // namespace dunebridge::sim
