#include "routing/freshness.hpp"

#include "routing_test_support.hpp"

namespace irismux::testing {
namespace {

using namespace routing;

class FreshnessTest : public ::testing::Test {
protected:
    Deployment deployment_ = deployment();
    TimePoint now_ = TimePoint::at_seconds(100);
    FreshnessPolicy freshness_{deployment_};
    ObjectKind ageing_ = ageing_kind();
    PendingRequest request_ = pending_request(deployment_.kinds[0], now_ + one_second);
    PendingRequest ageing_request_ = pending_request(ageing_, now_ + one_second);

    static ObjectKind ageing_kind() {
        ObjectKind kind = kind_of(Effect::idempotent);
        kind.fresh_for = one_second * 10;
        kind.stale_if_error_for = one_second * 5;
        return kind;
    }
    void purge(Duration age) { freshness_.on_purge(age, PurgeGroupId{3}, ObjectName{"object"}, now_); }
};

// A gateway that did not limit the age of copies after a purge would let caches serve copies from before the
// purge. The test purges all copies that are older than 0.2 s. One second later, each purged copy is more
// than 0.2 s + 1 s = 1.2 s old. The maximum age for a served copy must then be 1.2 s minus
// Deployment::timer_resolution, which is the maximum delay of timers and of reports.
TEST_F(FreshnessTest, APurgeLimitsTheAgeWhileOldCopiesMayRemain) {
    purge(Duration::seconds(0.2));
    EXPECT_EQ(freshness_.max_age(request_, false, now_ + one_second),
              Duration::seconds(1.2) - deployment_.timer_resolution);
    EXPECT_EQ(freshness_.max_age(request_, false, now_ + deployment_.purge_retention * 2), Duration{})
        << "the purge still limits the age after the purge retention has ended";
}

TEST_F(FreshnessTest, APurgeAtTheCurrentTimeLimitsTheAge) {
    purge(Duration{});
    EXPECT_EQ(freshness_.max_age(request_, false, now_), Duration::micros(1));
}

TEST_F(FreshnessTest, StaleCopiesAreAllowedWithinTheirWindowOnly) {
    EXPECT_EQ(freshness_.max_age(ageing_request_, false, now_), Duration{})
        << "a maximum age is set although only ObjectKind::fresh_for limits the age";
    EXPECT_EQ(freshness_.max_age(ageing_request_, true, now_), one_second * 15);
    EXPECT_EQ(freshness_.max_age(request_, true, now_), Duration{})
        << "a maximum age is set for a kind whose copies never become stale";
}

TEST_F(FreshnessTest, APurgeLimitsTheAgeOfStaleCopiesToo) {
    purge(one_second);
    EXPECT_LT(freshness_.max_age(ageing_request_, true, now_), one_second);
    now_ = now_ + one_second * 11;
    EXPECT_LT(freshness_.max_age(ageing_request_, true, now_), one_second * 12);
}

TEST_F(FreshnessTest, AFailedSourceAllowsStaleCopiesFromTheNextAttemptOn) {
    freshness_.begin_plan(ageing_request_, now_);
    EXPECT_EQ(ageing_request_.plan.max_age, Duration{});
    EXPECT_TRUE(ageing_request_.plan.revalidate);
    FreshnessPolicy::on_result(ageing_request_, result_of(Outcome::overloaded, CacheStatus::no_fill_slot));
    EXPECT_FALSE(ageing_request_.allow_stale)
        << "stale copies are allowed though the cache failed and not the source";
    FreshnessPolicy::on_result(ageing_request_, result_of(Outcome::errored, CacheStatus::origin_failed));
    freshness_.begin_plan(ageing_request_, now_);
    EXPECT_EQ(ageing_request_.plan.max_age, one_second * 15);
}

TEST_F(FreshnessTest, RepeatedObjectsRankAboveNewOnesAndUncacheableOnesAreNotKept) {
    freshness_.begin_plan(request_, now_);
    EXPECT_EQ(request_.plan.storage_rank, 2);
    EXPECT_TRUE(request_.plan.coalesce);
    request_.object_is_repeated = true;
    freshness_.begin_plan(request_, now_);
    EXPECT_EQ(request_.plan.storage_rank, 3);
    PendingRequest uncacheable = pending_request(deployment_.kinds[1], now_ + one_second);
    freshness_.begin_plan(uncacheable, now_);
    EXPECT_EQ(uncacheable.plan.storage_rank, 0);
    EXPECT_FALSE(uncacheable.plan.coalesce);
}

}  // namespace
}  // namespace irismux::testing
