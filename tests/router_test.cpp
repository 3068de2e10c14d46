// Tests the routing of requests without faults. Also tests that no request takes effect twice (rule 2) and
// that no purged copy is served (rule 5).
#include "router_fixture.hpp"

namespace irismux::testing {
namespace {

TEST(Time, DurationsAndTimePointsAdd) {
    const TimePoint t = TimePoint::at_seconds(8.25);
    EXPECT_EQ((t + Duration::seconds(0.5)) - t, Duration::micros(500'000));
    EXPECT_DOUBLE_EQ(Duration::seconds(3) / Duration::seconds(2), 1.5);
}

TEST_F(RouterTest, AnObjectStaysWithItsCacheAndParent) {
    const StartedAttempt first = request_and_end("x", Outcome::completed, CacheStatus::filled);
    const StartedAttempt again = request_and_end("x", Outcome::completed, CacheStatus::hit);
    EXPECT_EQ(first.plan.cache, again.plan.cache);
    EXPECT_EQ(first.plan.source, again.plan.source);
    EXPECT_EQ(first.plan.storage_rank, 2);
}

TEST_F(RouterTest, AllGatewaysFillAnObjectFromTheSameParent) {
    RouterHarness other{deployment(), 99};
    for (int n = 0; n < 20; ++n) {
        const std::string name = "o" + std::to_string(n);
        EXPECT_EQ(request_and_end(name, Outcome::completed, CacheStatus::hit).plan.source,
                  other.request(request_for("a" + name, name, other.now + second))->plan.source);
    }
}

// A gateway that repeated a non-idempotent request after an attempt that may have run could apply the effect
// of the request twice. After an error the first attempt may have run, so the request must fail without
// another attempt. After a refused connection the first attempt cannot have run, so the router must start
// another attempt.
TEST_F(RouterTest, ANonIdempotentRequestThatMayHaveRunFailsAtOnce) {
    harness.request(new_request("x", 1));
    harness.end_attempt(harness.callbacks.attempts.size() - 1, Outcome::errored);
    EXPECT_EQ(harness.callbacks.failed.size(), 1u);
    harness.request(new_request("x", 1));
    harness.end_attempt(harness.callbacks.attempts.size() - 1, Outcome::connection_refused);
    EXPECT_EQ(harness.callbacks.attempts_of[request_id_named("l1")].size(), 2u)
        << "the request is not attempted again although its first attempt never ran";
}

TEST_F(RouterTest, APurgeLimitsTheAgeOfCopies) {
    harness.advance(second);
    harness.callbacks.purged_at[ObjectName{"x"}] = harness.now - second * 0.1;
    harness.router.on_purge(harness.now, second * 0.1, PurgeGroupId{3}, ObjectName{"x"});
    const StartedAttempt attempt = request_and_end("x", Outcome::completed, CacheStatus::filled);
    EXPECT_GT(attempt.plan.max_age, Duration{});
    EXPECT_LE(attempt.plan.max_age, second * 0.1);
    EXPECT_EQ(request_and_end("y", Outcome::completed, CacheStatus::hit).plan.max_age, Duration{});
    harness.router.on_purge(harness.now, Duration{}, PurgeGroupId{0}, std::nullopt);
    EXPECT_GT(request_and_end("y", Outcome::completed, CacheStatus::hit).plan.max_age, Duration{});
}

TEST_F(RouterTest, ARepeatedObjectRanksAboveOthers) {
    request_and_end("x", Outcome::completed, CacheStatus::filled);
    EXPECT_EQ(request_and_end("x", Outcome::completed, CacheStatus::hit).plan.storage_rank, 3);
    EXPECT_EQ(request_and_end("y", Outcome::completed, CacheStatus::filled).plan.storage_rank, 2);
    harness.advance(second * 60);
    request_and_end("z", Outcome::completed, CacheStatus::filled);
    harness.advance(second * 60);
    EXPECT_EQ(request_and_end("x", Outcome::completed, CacheStatus::hit).plan.storage_rank, 2)
        << "the object still counts as repeated after two generations";
}

TEST_F(RouterTest, ResultsOfUnknownRequestsAreIgnored) {
    AttemptResult result;
    result.request = request_id_named("unknown");
    harness.router.on_attempt_result(harness.now, result);
    harness.router.on_client_closed(harness.now, request_id_named("unknown"));
    EXPECT_TRUE(harness.callbacks.attempts.empty());
}

}  // namespace
}  // namespace irismux::testing
