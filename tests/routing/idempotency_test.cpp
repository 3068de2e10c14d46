#include "routing/idempotency.hpp"

#include "routing_test_support.hpp"

namespace irismux::testing {
namespace {

using namespace routing;

class IdempotencyTest : public ::testing::Test {
protected:
    Deployment deployment_ = deployment();
    TimePoint now_ = TimePoint::at_seconds(100);
    IdempotencyPolicy policy_{deployment_};

    // @return a request whose only attempt has ended with this outcome
    PendingRequest request_after(const ObjectKind& kind, Outcome outcome) const {
        PendingRequest request = pending_request(kind, now_ + one_second * 10);
        Attempt attempt = attempt_at("e1", now_);
        attempt.state = AttemptState::ended;
        IdempotencyPolicy::record_result(attempt, result_of(outcome));
        request.attempts.push_back(attempt);
        return request;
    }
};

TEST_F(IdempotencyTest, OnlyAttemptsThatNeverBeganHaveNotRun) {
    const std::set<Outcome> never_ran = {Outcome::overloaded, Outcome::connection_refused,
                                         Outcome::superseded, Outcome::cache_miss};
    for (int value = 0; value <= static_cast<int>(Outcome::cache_miss); ++value) {
        const auto outcome = static_cast<Outcome>(value);
        const PendingRequest request = request_after(deployment_.kinds[1], outcome);
        EXPECT_EQ(request.attempts[0].may_have_run, !never_ran.contains(outcome)) << value;
    }
}

TEST_F(IdempotencyTest, ANonIdempotentRequestThatMayHaveRunIsNeitherRepeatedNorRejected) {
    const PendingRequest ran = request_after(deployment_.kinds[1], Outcome::connection_reset);
    EXPECT_FALSE(policy_.may_attempt(ran, nullptr, now_));
    EXPECT_FALSE(IdempotencyPolicy::may_reject(ran));
    const PendingRequest refused = request_after(deployment_.kinds[1], Outcome::connection_refused);
    EXPECT_TRUE(policy_.may_attempt(refused, nullptr, now_));
    EXPECT_TRUE(IdempotencyPolicy::may_reject(refused));
}

TEST_F(IdempotencyTest, AnAttemptInFlightMayHaveRun) {
    PendingRequest request = pending_request(deployment_.kinds[1], now_ + one_second);
    request.attempts.push_back(attempt_at("e1", now_));
    EXPECT_FALSE(policy_.may_attempt(request, nullptr, now_));
    EXPECT_TRUE(policy_.may_attempt(request, &request.attempts[0], now_))
        << "the attempt that is about to start counts as another attempt in flight";
    EXPECT_FALSE(IdempotencyPolicy::may_reject(request));
}

TEST_F(IdempotencyTest, AnIdempotentRequestMayAlwaysBeRepeatedOrRejected) {
    const PendingRequest ran = request_after(deployment_.kinds[0], Outcome::connection_reset);
    EXPECT_TRUE(policy_.may_attempt(ran, nullptr, now_ + one_second * 100));
    EXPECT_TRUE(IdempotencyPolicy::may_reject(ran));
}

TEST_F(IdempotencyTest, ADeduplicatedRequestIsRepeatedOnlyWithinItsWindow) {
    const ObjectKind& kind = deployment_.kinds[2];
    const PendingRequest ran = request_after(kind, Outcome::connection_reset);
    const TimePoint latest = now_ + kind.dedup_window - deployment_.timer_resolution;
    EXPECT_TRUE(policy_.may_attempt(ran, nullptr, latest));
    EXPECT_FALSE(policy_.may_attempt(ran, nullptr, latest + Duration::micros(1)));
}

TEST_F(IdempotencyTest, ADeduplicatedRequestIsRejectedOnlyIfAllCachesKnowItsKey) {
    ObjectKind kind = deployment_.kinds[2];
    EXPECT_TRUE(IdempotencyPolicy::may_reject(request_after(kind, Outcome::connection_reset)));
    for (const DedupScope scope : {DedupScope::location, DedupScope::cell}) {
        kind.dedup_scope = scope;
        EXPECT_FALSE(IdempotencyPolicy::may_reject(request_after(kind, Outcome::connection_reset)));
        EXPECT_TRUE(IdempotencyPolicy::may_reject(request_after(kind, Outcome::overloaded)));
    }
}

TEST_F(IdempotencyTest, ARequestDeduplicatedByCellStaysInItsCell) {
    ObjectKind kind = deployment_.kinds[2];
    kind.dedup_scope = DedupScope::cell;
    PendingRequest ran = request_after(kind, Outcome::connection_reset);
    ran.attempts[0].cell = CellId{1};
    EXPECT_TRUE(IdempotencyPolicy::may_use_cell(ran, CellId{1}));
    EXPECT_FALSE(IdempotencyPolicy::may_use_cell(ran, CellId{2}));
    ran.attempts[0].may_have_run = false;
    EXPECT_TRUE(IdempotencyPolicy::may_use_cell(ran, CellId{2}));
}

}  // namespace
}  // namespace irismux::testing
