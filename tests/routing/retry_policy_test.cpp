#include "routing/retry_policy.hpp"

#include "routing_test_support.hpp"

namespace irismux::testing {
namespace {

using namespace routing;

class RetryPolicyTest : public ::testing::Test {
protected:
    Deployment deployment_ = deployment();
    TimePoint now_ = TimePoint::at_seconds(100);
    RandomFraction random_{7};
    RetryPolicy retries_{deployment_, random_};
    PendingRequest request_ = pending_request(deployment_.kinds[0], now_ + one_second);
};

TEST_F(RetryPolicyTest, NoAttemptBeginsAtTheDeadline) {
    EXPECT_TRUE(retries_.may_attempt(request_, now_));
    EXPECT_FALSE(retries_.may_attempt(request_, now_ + one_second - deployment_.timer_resolution));
}

TEST_F(RetryPolicyTest, ARequestHasAtMostMaxAttempts) {
    request_.attempts.resize(static_cast<std::size_t>(deployment_.capabilities.max_attempts) - 1);
    EXPECT_TRUE(retries_.may_attempt(request_, now_));
    request_.attempts.emplace_back();
    EXPECT_FALSE(retries_.may_attempt(request_, now_));
}

// During a fault that makes all attempts fail, unlimited retries would multiply the load. The test lets each
// attempt fail. Once the reserve of retries is used up, only one retry must be allowed for each four
// requests.
TEST_F(RetryPolicyTest, RetriesAreLimitedToAShareOfRequests) {
    const AttemptResult failed = result_of(Outcome::errored);
    int reserve = 0;
    while (retries_.next_step(request_, failed) == NextStep::try_again) ++reserve;
    EXPECT_EQ(reserve, 5 * deployment_.capabilities.max_attempts);
    int retried = 0;
    for (int n = 0; n < 100; ++n) {
        EXPECT_TRUE(retries_.may_attempt(request_, now_));
        retried += retries_.next_step(request_, failed) == NextStep::try_again;
    }
    EXPECT_EQ(retried, 25);
}

TEST_F(RetryPolicyTest, RefusedConnectionsAndCacheOnlyAttemptsNeedNoRetryBudget) {
    while (retries_.next_step(request_, result_of(Outcome::errored)) == NextStep::try_again) continue;
    EXPECT_EQ(retries_.next_step(request_, result_of(Outcome::connection_refused)), NextStep::try_again);
    request_.on_miss = MissHandling::fill_next_time;
    EXPECT_EQ(retries_.next_step(request_, result_of(Outcome::cache_miss)), NextStep::try_again);
}

TEST_F(RetryPolicyTest, EndsRequestsThatAnotherAttemptCannotHelp) {
    request_.on_miss = MissHandling::reject;
    EXPECT_EQ(retries_.next_step(request_, result_of(Outcome::cache_miss)), NextStep::end_request);
    EXPECT_EQ(retries_.next_step(request_, result_of(Outcome::superseded)), NextStep::end_request);
    request_.finished = true;
    EXPECT_EQ(retries_.next_step(request_, result_of(Outcome::errored)), NextStep::none);
}

TEST_F(RetryPolicyTest, RetryAfterTimesAreSpread) {
    Duration shortest = deployment_.capabilities.max_retry_after;
    Duration longest;
    for (int n = 0; n < 100; ++n) {
        const Duration wait = retries_.retry_after();
        shortest = std::min(shortest, wait);
        longest = std::max(longest, wait);
    }
    EXPECT_GE(shortest, deployment_.capabilities.max_retry_after * 0.1);
    EXPECT_LE(longest, deployment_.capabilities.max_retry_after);
    EXPECT_GT(longest, shortest * 4);
}

TEST_F(RetryPolicyTest, NoRetryAfterTimeIfClientsIgnoreIt) {
    deployment_.capabilities.retry_after = false;
    RetryPolicy without_retry_after{deployment_, random_};
    EXPECT_EQ(without_retry_after.retry_after(), Duration{});
}

}  // namespace
}  // namespace irismux::testing
