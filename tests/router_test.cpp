// Recognition of requests by listener, method and path, and the order of a batch.
#include "controller/router.hpp"

#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "controller/batch_order.hpp"

namespace dunebridge::controller {
namespace {

using sansio::RefusalReason;

RoutedRequest routed(const std::string& method, const std::string& target,
                     Listener listener = Listener::front) {
    return route(Request{RequestId(1), listener, method, target, "body", false});
}

void expect_refusal(const RoutedRequest& request, RefusalReason reason) {
    const auto* refusal = std::get_if<sansio::Refusal>(&request);
    ASSERT_NE(refusal, nullptr);
    EXPECT_EQ(refusal->reason(), reason);
}

TEST(Router, RecognizesUsersRequests) {
    const auto submission = routed("POST", "/v1/jobs");
    ASSERT_TRUE(std::holds_alternative<SubmitJob>(submission));
    EXPECT_EQ(std::get<SubmitJob>(submission).body, "body");
    const auto poll = routed("GET", "/v1/jobs/req-1");
    ASSERT_TRUE(std::holds_alternative<PollJob>(poll));
    EXPECT_EQ(std::get<PollJob>(poll).job, JobId("req-1"));
    const auto cancellation = routed("POST", "/v1/jobs/req-1/abort");
    ASSERT_TRUE(std::holds_alternative<CancelJob>(cancellation));
    EXPECT_EQ(std::get<CancelJob>(cancellation).job, JobId("req-1"));
    EXPECT_TRUE(std::holds_alternative<ReadinessProbe>(routed("GET", "/ready")));
}

TEST(Router, IgnoresTheQueryOfUsersRequests) {
    EXPECT_TRUE(std::holds_alternative<ReadinessProbe>(routed("GET", "/ready?x=1")));
    EXPECT_TRUE(std::holds_alternative<SubmitJob>(routed("POST", "/v1/jobs?x")));
    EXPECT_TRUE(std::holds_alternative<PollJob>(routed("GET", "/v1/jobs/req-1?x=/abort")));
    EXPECT_TRUE(std::holds_alternative<WorkerHeartbeatRequest>(routed("POST", "/checkin?x")));
}

TEST(Router, TellsWorkersHeartbeatsFromRelayedAndPeerHeartbeats) {
    const auto direct = routed("POST", "/checkin");
    ASSERT_TRUE(std::holds_alternative<WorkerHeartbeatRequest>(direct));
    EXPECT_EQ(std::get<WorkerHeartbeatRequest>(direct).body, "body");
    EXPECT_FALSE(std::get<WorkerHeartbeatRequest>(direct).relayed);
    const auto relayed = routed("POST", "/checkin", Listener::back);
    ASSERT_TRUE(std::holds_alternative<WorkerHeartbeatRequest>(relayed));
    EXPECT_TRUE(std::get<WorkerHeartbeatRequest>(relayed).relayed);
    const auto peer = routed("POST", "/hello", Listener::back);
    ASSERT_TRUE(std::holds_alternative<PeerHeartbeatRequest>(peer));
    EXPECT_EQ(std::get<PeerHeartbeatRequest>(peer).body, "body");
}

TEST(Router, RefusesOtherMethods) {
    for (const auto& [method, target] :
         std::vector<std::pair<std::string, std::string>>{{"DELETE", "/v1/jobs"},
                                                          {"GET", "/v1/jobs"},
                                                          {"POST", "/ready"},
                                                          {"GET", "/checkin"},
                                                          {"POST", "/v1/jobs/req-1"},
                                                          {"GET", "/v1/jobs/req-1/abort"}}) {
        expect_refusal(routed(method, target), RefusalReason::method_not_allowed);
    }
}

TEST(Router, RefusesUnknownPaths) {
    for (const auto* target : {"", "/", "/nowhere", "/v1/jobsx", "/v1/jobs/req-1/other",
                               "/v1/jobs/req-1/abort/", "/hello"}) {
        expect_refusal(routed("POST", target), RefusalReason::no_such_path);
    }
    // Other controllers send only what this version or an earlier one knows: all else is unknown.
    for (const auto* target : {"/hello?x", "/checkin?x", "/ready", "/v1/jobs"}) {
        expect_refusal(routed("POST", target, Listener::back), RefusalReason::no_such_path);
    }
    expect_refusal(routed("GET", "/hello", Listener::back), RefusalReason::no_such_path);
}

TEST(Router, RefusesIdsThatNoJobCanHave) {
    expect_refusal(routed("GET", "/v1/jobs/"), RefusalReason::no_such_job);
    expect_refusal(routed("POST", "/v1/jobs//abort"), RefusalReason::no_such_job);
    // The method is checked first.
    expect_refusal(routed("POST", "/v1/jobs/"), RefusalReason::method_not_allowed);
}

TEST(Router, RefusesWhatIsTooLargeWhateverItAsksFor) {
    for (const auto listener : {Listener::front, Listener::back}) {
        expect_refusal(route(Request{RequestId(1), listener, "GET", "/nowhere", {}, true}),
                       RefusalReason::body_too_large);
    }
}

TEST(BatchOrder, SortsByUrgencyAndKeepsTheOrderOfEquals) {
    std::uint64_t id = 0;
    std::vector<Command> batch;
    const auto add = [&](const char* method, const char* target, Listener listener) {
        batch.emplace_back(Request{RequestId(++id), listener, method, target, {}, false});
    };
    add("GET", "/v1/jobs/req-1", Listener::front);
    add("POST", "/v1/jobs", Listener::front);
    add("POST", "/v1/jobs/req-1/abort", Listener::front);
    add("POST", "/checkin", Listener::front);
    add("GET", "/hello", Listener::back);
    batch.emplace_back(CallCompleted{CallId(1), {}});
    add("GET", "/ready", Listener::front);
    add("POST", "/v1/jobs/req-2/abort", Listener::front);
    sort_by_priority(batch);
    EXPECT_TRUE(std::holds_alternative<CallCompleted>(batch.front()));
    std::vector<std::uint64_t> order;
    for (std::size_t i = 1; i < batch.size(); ++i)
        order.push_back(std::get<Request>(batch[i]).id.get());
    EXPECT_EQ(order, (std::vector<std::uint64_t>{5, 4, 3, 7, 2, 1, 6}));
}

}  // namespace
}  // namespace dunebridge::controller
