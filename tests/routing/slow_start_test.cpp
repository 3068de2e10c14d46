#include "routing/slow_start.hpp"

#include "routing_test_support.hpp"

namespace irismux::testing {
namespace {

using namespace routing;

class SlowStartTest : public ::testing::Test {
protected:
    static constexpr double transfer_seconds = 0.1;
    Deployment deployment_ = deployment();
    TimePoint now_ = TimePoint::at_seconds(100);
    EndpointSet endpoints_ = endpoint_set(deployment_, now_);
    LinkCapacity links_{deployment_, endpoints_};
    RandomFraction random_{7};
    SlowStartPolicy slow_start_{deployment_, links_, random_};
    EndpointState& cache_ = endpoints_.at(CacheId{"e1"});
    EndpointState& origin_ = endpoints_.at(CacheId{"o"});

    // Advances the time by `during` in steps of 10 ms, and starts an attempt at the endpoint in each step in
    // which the endpoint's budget allows an attempt.
    // @return the sum of the transfer times of these attempts, in seconds
    double sent_to(EndpointState& endpoint, Duration during) {
        double transferred = 0;
        const TimePoint end = now_ + during;
        for (; now_ < end; now_ = now_ + Duration::seconds(0.01)) {
            if (!slow_start_.has_budget(endpoint, transfer_seconds, now_)) continue;
            slow_start_.charge(endpoint, transfer_seconds, now_);
            transferred += transfer_seconds;
        }
        return transferred;
    }
};

TEST_F(SlowStartTest, AWarmEndpointHasNoBudgetLimit) {
    for (int n = 0; n < 1000; ++n) {
        ASSERT_TRUE(slow_start_.has_budget(cache_, transfer_seconds, now_));
        slow_start_.charge(cache_, transfer_seconds, now_);
    }
}

// A budget that is too large would overload a cache that has just started, and a budget that is too small
// would leave the cache idle. The test starts attempts as often as the budget allows. The sum of their
// transfer times must exceed half of this gateway's even share of the cache's present capacity. The sum must
// not exceed this even share times the overload multiple.
TEST_F(SlowStartTest, AWarmingEndpointGetsItsEvenShareOfPresentCapacity) {
    slow_start_.begin(cache_, now_, now_);
    const SlowStart& settings = deployment_.edge_slow_start;
    const Duration during = Duration::seconds(4);
    const double mean_share = settings.initial_capacity_share +
                              (1 - settings.initial_capacity_share) * (during / settings.window) / 2;
    const double even_share = mean_share * cache_.weight * during.seconds() / 2;
    const double sent = sent_to(cache_, during);
    EXPECT_LE(sent, even_share * settings.overload_multiple);
    EXPECT_GT(sent, even_share * 0.5);
}

TEST_F(SlowStartTest, TheBudgetLimitEndsWithTheSlowStartWindow) {
    slow_start_.begin(cache_, now_, now_);
    EXPECT_FALSE(slow_start_.has_budget(cache_, 100, now_));
    EXPECT_TRUE(slow_start_.has_budget(cache_, 100, now_ + deployment_.edge_slow_start.window));
    EXPECT_FALSE(cache_.warm_up.warming_up_since.has_value());
}

// The endpoint list may name the start of a cache's new process late. A gateway that ignored the transfers
// that it has sent to the new process by then would add a full budget to these transfers and overload the
// cache. In the test, the list names the start a second late, after many transfers to the cache. The gateway
// must send nothing more until these transfers have left the overload window.
TEST_F(SlowStartTest, TransfersBeforeTheStartWasKnownAreCharged) {
    const TimePoint started_at = now_;
    for (int n = 0; n < 100; ++n) slow_start_.charge(cache_, transfer_seconds, now_);
    now_ = now_ + one_second;
    slow_start_.begin(cache_, started_at, now_);
    EXPECT_EQ(sent_to(cache_, Duration::seconds(0.5)), 0);
    now_ = now_ + deployment_.overload_window;
    EXPECT_GT(sent_to(cache_, one_second * 2), 0);
}

// A gateway that waited until the endpoint list names a restarted cache's new process would send this process
// a full load until then. A cache that refuses a connection while none of its attempts is in flight has
// stopped, so its next response comes from a new process. In the test, a cache refuses a connection and later
// responds. The slow start must begin with this response.
TEST_F(SlowStartTest, TheFirstResponseAfterAStopBeginsSlowStart) {
    slow_start_.on_cache_result(cache_, result_of(Outcome::connection_refused), now_);
    EXPECT_FALSE(cache_.warm_up.warming_up_since.has_value());
    slow_start_.on_cache_result(cache_, result_of(Outcome::overloaded), now_);
    EXPECT_FALSE(cache_.warm_up.warming_up_since.has_value())
        << "a rejection counts as a response of a new process";
    slow_start_.on_cache_result(cache_, result_of(Outcome::completed), now_);
    EXPECT_EQ(cache_.warm_up.warming_up_since, now_);
}

TEST_F(SlowStartTest, ARefusalWithAttemptsInFlightBeginsNoSlowStart) {
    cache_.load.in_flight = 1;
    slow_start_.on_cache_result(cache_, result_of(Outcome::connection_refused), now_);
    slow_start_.on_cache_result(cache_, result_of(Outcome::completed), now_);
    EXPECT_FALSE(cache_.warm_up.warming_up_since.has_value());
}

// If an endpoint restarts while an admitted attempt waits for a connection, the attempt must fit the
// endpoint's new budget. Otherwise the gateway would send the attempt because of a check that it made before
// the restart.
TEST_F(SlowStartTest, AWaitingAttemptIsCheckedAgainAfterARestart) {
    Attempt attempt = attempt_at("e1", now_);
    attempt.transfer_seconds = 100;
    EXPECT_TRUE(slow_start_.recheck(cache_, attempt, now_));
    now_ = now_ + one_second;
    slow_start_.begin(cache_, now_, now_);
    EXPECT_FALSE(slow_start_.recheck(cache_, attempt, now_));
    attempt.slow_start_checked_at = now_;
    EXPECT_TRUE(slow_start_.recheck(cache_, attempt, now_));
}

TEST_F(SlowStartTest, TheOriginInPlaceOfParentsHasABudgetAtAllTimes) {
    sent_to(origin_, one_second);
    const double even_share = links_.endpoint(origin_) / deployment_.gateways;
    EXPECT_NEAR(sent_to(origin_, one_second * 10), even_share * 10, even_share + transfer_seconds);
}

}  // namespace
}  // namespace irismux::testing
