#include "routing/congestion.hpp"

#include "routing_test_support.hpp"

namespace irismux::testing {
namespace {

using namespace routing;

class CongestionTest : public ::testing::Test {
protected:
    // The initial mean transfer time in seconds, which is the latency objective.
    static constexpr double mean = 0.4;
    Deployment deployment_ = deployment();
    TimePoint now_ = TimePoint::at_seconds(100);
    EndpointSet endpoints_ = endpoint_set(deployment_, now_);
    LinkCapacity links_{deployment_, endpoints_};
    ObjectStatistics statistics_{deployment_};
    Congestion congestion_{deployment_, endpoints_, links_, statistics_};
    EndpointState& cache_ = endpoints_.at(CacheId{"e1"});
    EndpointState& parent_ = endpoints_.at(CacheId{"p1"});
    PendingRequest request_ = pending_request(deployment_.kinds[0], now_ + one_second);
    std::vector<Attempt> attempts_ = std::vector<Attempt>(20, attempt_at("e1", now_));

    void start_attempts(int count, bool known_fill = false) {
        for (int index = 0; index < count; ++index) {
            Attempt& attempt = attempts_[static_cast<std::size_t>(index)];
            attempt.is_known_fill = known_fill;
            congestion_.on_attempt_started(attempt, cache_, &parent_, now_);
        }
    }
    void make_late(int count) {
        for (int index = 0; index < count; ++index)
            Congestion::count_as_late(attempts_[static_cast<std::size_t>(index)], cache_);
        congestion_.recount_late_attempts(now_);
    }
};

TEST_F(CongestionTest, CountsAttemptsAtTheirCacheAndSource) {
    start_attempts(2);
    EXPECT_EQ(cache_.load.in_flight, 2);
    EXPECT_EQ(parent_.load.in_flight, 2);
    EXPECT_EQ(cache_.load.busy_since, now_);
    make_late(1);
    congestion_.on_attempt_ended(attempts_[0], cache_, &parent_);
    EXPECT_EQ(cache_.load.in_flight, 1);
    EXPECT_EQ(cache_.load.late, 0);
}

// The location has three caches of weight 6, so its link carries 9 transfers at once. Two gateways share the
// link. Fills are congested when more than 0.2 attempts are late for each of these transfers, that is more
// than 1.8 attempts in total. A gateway doubles the number of its own late attempts to estimate the number at
// both gateways.
TEST_F(CongestionTest, LateAttemptsIndicateCongestedFills) {
    start_attempts(2);
    EXPECT_FALSE(congestion_.fills_congested(mean));
    make_late(1);
    EXPECT_TRUE(congestion_.fills_congested(mean));
    EXPECT_FALSE(congestion_.fills_congested(mean / 2))
        << "fills count as congested for a small object, which must tolerate more late attempts";
}

TEST_F(CongestionTest, LateAttemptsAtAnUnresponsiveCacheAreNoCongestion) {
    start_attempts(4);
    now_ = now_ + one_second;
    make_late(4);
    EXPECT_FALSE(congestion_.fills_congested(mean));
}

TEST_F(CongestionTest, LateAttemptsAtACacheThatLosesAttemptsAreNoCongestion) {
    start_attempts(4);
    cache_.health.loses_attempts_until = now_ + one_second;
    make_late(4);
    EXPECT_FALSE(congestion_.fills_congested(mean));
    EXPECT_EQ(congestion_.load(cache_, now_), 0) << "attempts that the cache loses count as load";
}

TEST_F(CongestionTest, KnownFillsExhaustCongestedFills) {
    start_attempts(4, true);
    EXPECT_FALSE(congestion_.fills_exhausted(mean))
        << "the capacity for fills counts as exhausted although no attempt is late";
    make_late(1);
    EXPECT_TRUE(congestion_.fills_exhausted(mean));
    congestion_.on_attempt_ended(attempts_[3], cache_, &parent_);
    EXPECT_FALSE(congestion_.fills_exhausted(mean));
}

TEST_F(CongestionTest, LoadIsTransfersOfAllGatewaysPerUnitOfCapacity) {
    start_attempts(3);
    EXPECT_DOUBLE_EQ(congestion_.load(cache_, now_), 3 * 2 / 6.0);
}

// A gateway that ignored the load that other gateways put on a cache would send too much to the cache. In the
// test, two gateways share a cache, and a hit there takes three times its transfer time. From this hit, the
// router must estimate that the load by the other gateway is 3. This gateway has no attempt in flight, so the
// mean load by both gateways is 1.5. The estimate must decay.
TEST_F(CongestionTest, SlowHitsRaiseTheEstimatedLoadOfOtherGateways) {
    AttemptResult hit = result_of(Outcome::completed, CacheStatus::hit);
    attempts_[0].transfer_seconds = 0.4;
    hit.elapsed = Duration::seconds(1.2);
    congestion_.on_cache_result(cache_, request_, attempts_[0], hit, now_);
    EXPECT_DOUBLE_EQ(congestion_.load(cache_, now_), 1.5);
    EXPECT_NEAR(congestion_.load(cache_, now_ + one_second * 60), 0.5, 1e-9);
}

TEST_F(CongestionTest, LargeRequestsAreShedFirst) {
    EXPECT_DOUBLE_EQ(congestion_.shedding_load(mean), 2);
    EXPECT_DOUBLE_EQ(congestion_.shedding_load(mean * 100), 1.3);
    EXPECT_DOUBLE_EQ(congestion_.shedding_load(mean / 100), 8);
}

TEST_F(CongestionTest, RequestsStayWithTheirCacheWhileFillsAreCongested) {
    EXPECT_DOUBLE_EQ(congestion_.spill_load(mean / 2), 2);
    EXPECT_DOUBLE_EQ(congestion_.spill_load(mean * 100), 1.3);
    start_attempts(10);
    make_late(10);
    EXPECT_DOUBLE_EQ(congestion_.spill_load(mean / 2), 4);
    EXPECT_DOUBLE_EQ(congestion_.spill_load(mean * 100), 2);
}

}  // namespace
}  // namespace irismux::testing
