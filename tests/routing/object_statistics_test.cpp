#include "routing/object_statistics.hpp"

#include "routing_test_support.hpp"

namespace irismux::testing {
namespace {

using namespace routing;

class ObjectStatisticsTest : public ::testing::Test {
protected:
    Deployment deployment_ = deployment();
    TimePoint now_ = TimePoint::at_seconds(100);
    ObjectStatistics statistics_{deployment_};
    PendingRequest sized_ = pending_request(deployment_.kinds[0], now_ + one_second);
    PendingRequest unsized_ = pending_request(deployment_.kinds[0], now_ + one_second, 0);

    void hit(const PendingRequest& request, double elapsed_seconds) {
        AttemptResult result = result_of(Outcome::completed, CacheStatus::hit);
        result.elapsed = Duration::seconds(elapsed_seconds);
        statistics_.record_result(request, attempt_at("e1", now_), result);
    }
};

TEST_F(ObjectStatisticsTest, AnObjectIsRepeatedWithinTwoGenerations) {
    const ObjectName object{"object"};
    const Duration generation = deployment_.kinds[0].deadline * 2;
    EXPECT_FALSE(statistics_.record_request(object, now_));
    EXPECT_TRUE(statistics_.record_request(object, now_));
    now_ = now_ + generation + one_second;
    EXPECT_TRUE(statistics_.record_request(object, now_));
    for (int n = 0; n < 2; ++n) {
        now_ = now_ + generation + one_second;
        statistics_.record_request(ObjectName{"other"}, now_);
    }
    EXPECT_FALSE(statistics_.record_request(object, now_));
}

// A client that asks for ever new objects made the process pass its memory limit. The number of recorded
// objects must stay within two generations of the maximum, and an object that is asked for throughout must
// stay known.
TEST_F(ObjectStatisticsTest, EverNewObjectsUseBoundedMemory) {
    const ObjectName repeated{"repeated"};
    statistics_.record_request(repeated, now_);
    for (std::size_t n = 0; n < 10 * ObjectStatistics::max_objects; ++n) {
        statistics_.record_request(ObjectName{std::to_string(n)}, now_);
        if (n % 1'000 == 0) {
            ASSERT_TRUE(statistics_.record_request(repeated, now_)) << n;
        }
        ASSERT_LE(statistics_.object_count(), 2 * ObjectStatistics::max_objects);
    }
}

TEST_F(ObjectStatisticsTest, TheSizeDeterminesTheTransferTime) {
    EXPECT_DOUBLE_EQ(statistics_.transfer_seconds(sized_.request), 0.1);
}

TEST_F(ObjectStatisticsTest, WithoutASizeTheShortestTransferTimeIsUsed) {
    EXPECT_DOUBLE_EQ(statistics_.transfer_seconds(unsized_.request), 0.4)
        << "the mean transfer time of the kind is not used before the first hit of the object";
    hit(unsized_, 0.3);
    hit(unsized_, 0.2);
    hit(unsized_, 2);
    EXPECT_DOUBLE_EQ(statistics_.transfer_seconds(unsized_.request), 0.2);
}

}  // namespace
}  // namespace irismux::testing
