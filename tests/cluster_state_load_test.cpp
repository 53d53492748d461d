/// \file
/// What a new leader does with records that it cannot read, and with reads that are refused.
#include <gtest/gtest.h>

#include "sim/controller_harness.hpp"

namespace dunebridge::sim {
namespace {

// A record that this version cannot read must not be passed over: the job in it would be lost.
TEST(ClusterStateLoadTest, ARecordOfAnUnknownVersionStopsTheLoad) {
    ControllerHarness s(1);
    s.run(Millis(3000));
    const auto j = job(1);
    ASSERT_EQ(s.submit(j), 201);
    s.state().handle("POST", "/multi",
                     wire::encode_transaction(
                         {}, {{"prog/" + j.id.get() + "/0",
                               wire::Writer().map(1).text("v").count(99).take(), std::nullopt}}),
                     [](const sansio::HttpResult& r) { ASSERT_EQ(r.status, 200); });
    s.restart();
    s.run(Millis(6000));
    EXPECT_FALSE(s.leads());
    EXPECT_TRUE(s.logged("event=invalid_record key=prog/req-000001/0"));
    EXPECT_EQ(s.phase(j.id), "pending");
}

// A service over its rate refuses some of the reads with which a term begins. Each refusal once
// began a new term, and with it the whole load, which asked for as much again: 76 terms on one day.
TEST(ClusterStateLoadTest, ALoadGoesOnAfterReadsWereRefused) {
    ControllerHarness s(1);
    s.run(Millis(3000));
    for (int n = 1; n <= 120; ++n) ASSERT_EQ(s.submit(job(n)), 201);  // several pages
    s.restart();
    FakeKvStore::Limits limits;
    limits.rps = 6;
    s.state().set_limits(limits);
    const auto refused = s.state().refusals();
    s.run(Millis(40000));
    EXPECT_TRUE(s.leads());
    EXPECT_GT(s.state().refusals(), refused + 2);
    EXPECT_EQ(s.logged_times("event=elected"), 2u);  // once before the restart
}

}  // namespace
}  // namespace dunebridge::sim
