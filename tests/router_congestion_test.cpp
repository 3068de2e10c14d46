// Overload: congested fills, overloaded caches, and an origin that is asked for less.
#include "router_fixture.hpp"

namespace irismux::testing {
namespace {

class RouterCongestionTest : public RouterTest {};

// Given attempts past their latency objective at caches that respond, when a large request comes, then it
// asks for a cached copy first; a known miss goes to the origin within its budget, or is rejected.
TEST_F(RouterCongestionTest, WhileFillsAreCongestedCachedCopiesAreAskedForFirst) {
    for (int n = 0; n < 8; ++n) harness.request(new_request("o" + std::to_string(n)));
    harness.advance(second);
    // All caches respond, so that this is congestion and no silence.
    for (std::size_t n = 0; n < 3; ++n) harness.end_attempt(n, Outcome::completed, CacheStatus::hit);
    harness.advance(second * 0.1);
    Request large = new_request("late");
    large.size_kb = 4000;
    const StartedAttempt* s = harness.request(large);
    ASSERT_TRUE(s);
    EXPECT_EQ(s->plan.source, s->plan.cache);
    harness.end_attempt(harness.callbacks.attempts.size() - 1, Outcome::cache_miss);
    // What is known to be missing goes at_origin the jam, within the origin's budget, or is rejected at once.
    int at_origin = 0;
    for (int n = 0; n < 40 && harness.callbacks.rejected.empty(); ++n) {
        at_origin += harness.callbacks.attempts.back().plan.source == CacheId{"o"};
        EXPECT_FALSE(harness.callbacks.parents.contains(harness.callbacks.attempts.back().plan.source));
        Request more = new_request("more" + std::to_string(n));
        more.size_kb = 4000;
        harness.request(more);
        harness.end_attempt(harness.callbacks.attempts.size() - 1, Outcome::cache_miss);
    }
    EXPECT_GT(at_origin, 0);
    EXPECT_FALSE(harness.callbacks.rejected.empty());
}

// Given an origin that fails, when requests go on, then most ask for cached copies alone.
TEST_F(RouterCongestionTest, AFailingOriginGetsFewerFetches) {
    for (int n = 0; n < 30; ++n)
        request_and_end("o" + std::to_string(n), Outcome::overloaded, CacheStatus::origin_failed);
    int cached_only = 0;
    for (int n = 0; n < 100; ++n) {
        const StartedAttempt* s = harness.request(new_request("o" + std::to_string(n)));
        ASSERT_TRUE(s);
        cached_only += s->plan.only_if_cached;
        harness.end_attempt(harness.callbacks.attempts.size() - 1, Outcome::completed, CacheStatus::hit);
    }
    EXPECT_GT(cached_only, 50);
}

// Given more and more large requests in flight, when all caches are overloaded, then large ones are rejected,
// while a small one is still served.
TEST_F(RouterCongestionTest, WhenAllCachesAreOverloadedLargeRequestsAreRejectedFirst) {
    int n = 0;
    for (; n < 500; ++n) {
        Request a = new_request("o" + std::to_string(n));
        a.size_kb = 2000;
        if (!harness.request(a)) break;
    }
    EXPECT_LT(n, 500);
    Request small = new_request("small");
    small.size_kb = 20;
    EXPECT_TRUE(harness.request(small));
}

// Given a small and a large object of unknown size that have been served once, when all caches are
// overloaded, then the large one is rejected and the small one is not.
TEST_F(RouterCongestionTest, TransferTimesOfObjectsWithoutASizeAreLearnt) {
    for (const auto& [name, took] : {std::pair{"small", 0.02}, std::pair{"large", 2.0}}) {
        Request a = new_request(name);
        a.size_kb = 0;
        harness.request(a);
        const std::size_t at = harness.callbacks.attempts.size() - 1;
        harness.advance(Duration::seconds(took));
        harness.end_attempt(at, Outcome::completed, CacheStatus::hit);
    }
    for (int n = 0; n < 500; ++n) {
        Request a = new_request("o" + std::to_string(n));
        a.size_kb = 2000;
        if (!harness.request(a)) break;
    }
    Request small = new_request("small"), large = new_request("large");
    small.size_kb = large.size_kb = 0;
    EXPECT_FALSE(harness.request(large));
    EXPECT_TRUE(harness.request(small));
}

// Given congested fills and a loaded first cache, when a request comes, then it does not spill to another
// cache, where it would only miss.
TEST_F(RouterCongestionTest, ARequestStaysWithItsCacheWhileFillsAreCongested) {
    const std::string name = object_of_cache("e1");
    for (int n = 0; n < 30; ++n) harness.request(new_request(name));
    harness.advance(second);
    // All caches respond, and the others have capacity.
    std::map<CacheId, int> ended;
    for (std::size_t n = harness.callbacks.attempts.size(); n-- > 0;) {
        const CacheId c = harness.callbacks.attempts[n].plan.cache;
        if (harness.callbacks.attempts[n].in_flight && ended[c]++ < (c == CacheId{"e1"} ? 1 : 4))
            harness.end_attempt(n, Outcome::completed, CacheStatus::hit);
    }
    harness.advance(second * 0.1);
    const StartedAttempt* s = harness.request(new_request(name));
    ASSERT_TRUE(s);
    EXPECT_EQ(s->plan.cache, CacheId{"e1"});
}

// Given parents whose fills are late, when requests go on, then the origin takes a part of them, but not all.
TEST_F(RouterCongestionTest, LateFillsCutAParentsShareAndTheOriginTakesTheRest) {
    int at_origin = 0;
    for (int n = 0; n < 200; ++n) {
        Request a = new_request("o" + std::to_string(n));
        a.size_kb = 20;
        ASSERT_TRUE(harness.request(a));
        const bool origin = harness.callbacks.attempts.back().plan.source == CacheId{"o"};
        at_origin += origin;
        const std::size_t at = harness.callbacks.attempts.size() - 1;
        harness.advance(second * (origin ? 0.1 : 1.5));
        harness.end_attempt(at, Outcome::completed, origin ? CacheStatus::via_origin : CacheStatus::filled);
    }
    EXPECT_GT(at_origin, 20);
    EXPECT_LT(at_origin, 180);
}

// Given a slow origin, when fills by way of parents are late, then the parents keep their share.
TEST_F(RouterCongestionTest, ASlowOriginBehindAParentDoesNotCutTheParentsShare) {
    for (int n = 0; n < 40; ++n) {
        const std::string name = "o" + std::to_string(n);
        ASSERT_TRUE(harness.request(new_request(name)));
        const std::size_t at = harness.callbacks.attempts.size() - 1;
        EXPECT_TRUE(harness.callbacks.parents.contains(harness.callbacks.attempts[at].plan.source));
        harness.advance(second * 0.8);
        harness.end_attempt(at, Outcome::completed, CacheStatus::via_origin);
        harness.advance(second * 20);
    }
}

// Given an origin that has failed, when half a minute has passed without a fetch, then it is fetched from as
// before.
TEST_F(RouterCongestionTest, ACutShareComesBackWithTimeAlone) {
    for (int n = 0; n < 30; ++n, harness.advance(second * 0.2))
        request_and_end("o" + std::to_string(n), Outcome::overloaded, CacheStatus::origin_failed);
    harness.advance(second * 30);
    for (int n = 0; n < 50; ++n)
        EXPECT_FALSE(request_and_end("n" + std::to_string(n), Outcome::completed, CacheStatus::hit)
                         .plan.only_if_cached);
}

// Given a cache that ten gateways share, when a hit there is slow, then that stands for the load of the other
// nine: large requests go elsewhere, small ones only when it is much slower, and all return with time.
TEST(ManyGateways, ACacheWithSlowHitsIsPassedOverByLargeRequestsFirst) {
    for (const auto& [took, small_stays] : {std::pair{0.7, true}, std::pair{1.7, false}}) {
        Deployment d = deployment();
        d.gateways_in_location = 10;
        d.kinds[0].latency_objective = second * 2;
        RouterHarness harness{d};
        const StartedAttempt* first = harness.request(request_for("a", "x", harness.now + second * 5));
        ASSERT_TRUE(first);
        const CacheId home = first->plan.cache;
        harness.advance(Duration::seconds(took));
        harness.end_attempt(0, Outcome::completed, CacheStatus::hit);
        Request small = request_for("small", "x", harness.now + second * 5), large = small;
        large.id = request_id_named("large");
        large.size_kb = 50000;
        const StartedAttempt* s = harness.request(large);
        EXPECT_TRUE(s && s->plan.cache != home);
        s = harness.request(small);
        ASSERT_TRUE(s);
        EXPECT_EQ(s->plan.cache == home, small_stays);
        harness.advance(second * 60);
        s = harness.request(request_for("later", "x", harness.now + second * 5));
        EXPECT_TRUE(s && s->plan.cache == home) << "its load has not faded";
    }
}

}  // namespace
}  // namespace irismux::testing
