// The log of cancellations that controllers pass on to each other.
#include "coordination/cancellation_log.hpp"

#include <gtest/gtest.h>

#include <cstddef>

namespace dunebridge {
namespace {

// Two controllers that learn entries from each other's log, one a little later than the other, must
// not keep an entry alive for ever.
TEST(CancellationLogTest, EntriesExpireAlthoughPeersRepeatThem) {
    config::Config config;
    config.cancellation_deadline = Millis(20000);
    sansio::Context ports[2]{{1, sansio::LogLevel::info}, {2, sansio::LogLevel::info}};
    coordination::CancellationLog logs[2]{{ports[0], config}, {ports[1], config}};
    Instant now(Millis(1000));
    ports[0].advance_clock(now, 0);
    EXPECT_TRUE(logs[0].append(JobId("req-1")));
    EXPECT_FALSE(logs[0].append(JobId("req-1")));
    now += Millis(5000);
    for (int step = 0; step < 300; ++step) {
        now += Millis(700);
        const auto from = static_cast<std::size_t>(step % 2);
        for (auto& port : ports) port.advance_clock(now, 0);
        for (const auto& id : logs[from].retained().jobs) logs[1 - from].append(id);
        if (step == 2) {
            EXPECT_EQ(logs[1].retained().jobs.size(), 1u);
        }
    }
    for (auto& log : logs) {
        EXPECT_TRUE(log.retained().jobs.empty());
        EXPECT_EQ(log.retained().first_sequence, 2u);  // logged once
    }
}

}  // namespace
}  // namespace dunebridge
