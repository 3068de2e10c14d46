#include "routing/adaptive_limit.hpp"

#include <gtest/gtest.h>

namespace irismux::routing {
namespace {

const Duration second = Duration::seconds(1);
const TimePoint start = TimePoint::at_seconds(100);

TEST(AdaptiveLimit, IsFullUntilABadResult) {
    AdaptiveLimit limit;
    EXPECT_EQ(limit.share(start), 1);
    limit.record(false, start);
    EXPECT_EQ(limit.share(start), 1);
    limit.record(true, start);
    EXPECT_LT(limit.share(start), 0.5);
}

TEST(AdaptiveLimit, DoublesInItsDoublingTimeWithoutResults) {
    AdaptiveLimit limit{second * 6};
    limit.record(true, start);
    const double reduced = limit.share(start);
    EXPECT_DOUBLE_EQ(limit.share(start + second * 6), 2 * reduced);
    EXPECT_EQ(limit.share(start + second * 60), 1);
}

// If each bad result reduced the limit, the limit of a busy gateway would fall far more than the limit of an
// idle gateway. The test records ten bad results at the same time, and expects that AdaptiveLimit::share
// returns the same value as after a single bad result.
TEST(AdaptiveLimit, BadResultsAtTheSameTimeReduceTheLimitOnce) {
    AdaptiveLimit ten_results;
    AdaptiveLimit one_result;
    for (int n = 0; n < 10; ++n) ten_results.record(true, start);
    one_result.record(true, start);
    EXPECT_DOUBLE_EQ(ten_results.share(start), one_result.share(start));
}

TEST(AdaptiveLimit, BadResultsNeverReduceTheLimitToZero) {
    AdaptiveLimit limit;
    TimePoint now = start;
    for (int n = 0; n < 100; ++n, now = now + second * 0.5) limit.record(true, now);
    EXPECT_GE(limit.share(now), 0.05);
    EXPECT_LT(limit.share(now), 0.1);
}

}  // namespace
}  // namespace irismux::routing
