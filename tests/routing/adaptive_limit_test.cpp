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
    const double cut = limit.share(start);
    EXPECT_DOUBLE_EQ(limit.share(start + second * 6), 2 * cut);
    EXPECT_EQ(limit.share(start + second * 60), 1);
}

// Given two gateways, when one sees ten bad results at a time and the other sees one, then both are cut
// alike.
TEST(AdaptiveLimit, ResultsOfOneMomentCutOnce) {
    AdaptiveLimit many;
    AdaptiveLimit few;
    for (int n = 0; n < 10; ++n) many.record(true, start);
    few.record(true, start);
    EXPECT_DOUBLE_EQ(many.share(start), few.share(start));
}

TEST(AdaptiveLimit, NeverCutsToNothing) {
    AdaptiveLimit limit;
    TimePoint now = start;
    for (int n = 0; n < 100; ++n, now = now + second * 0.5) limit.record(true, now);
    EXPECT_GE(limit.share(now), 0.05);
    EXPECT_LT(limit.share(now), 0.1);
}

}  // namespace
}  // namespace irismux::routing
