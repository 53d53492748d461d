// The rate limit of requests to the cloud and the key-value store.
#include "base/token_bucket.hpp"

#include <gtest/gtest.h>

namespace dunebridge {
namespace {

TEST(TokenBucket, RefillsWithTimeAndPaysOffLargeRequests) {
    TokenBucket bucket(10);
    Instant now(Millis(1000));
    EXPECT_TRUE(bucket.take(10, now));
    EXPECT_FALSE(bucket.take(1, now));
    EXPECT_TRUE(bucket.take(1, bucket.ready_at(1, now)));
    now += Millis(5000);
    EXPECT_TRUE(bucket.take(30, now));
    EXPECT_FALSE(bucket.take(1, now + Millis(1000)));
    EXPECT_TRUE(bucket.take(1, now + Millis(3200)));
}

}  // namespace
}  // namespace dunebridge
