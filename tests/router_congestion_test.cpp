// Routing under overload: congested fills, overloaded caches, and a reduced share of fetches from the origin.
#include "router_fixture.hpp"

namespace irismux::testing {
namespace {

class RouterCongestionTest : public RouterTest {};

// Guards against large requests that add fills to congested links. Attempts exceed their latency objective at
// caches that respond. A large request then asks for a cached copy first; a known miss goes to the origin
// within the origin's budget, or is rejected.
TEST_F(RouterCongestionTest, CongestedFillsMakeLargeRequestsTryCachedCopiesFirst) {
    for (int index = 0; index < 8; ++index) harness.request(new_request("o" + std::to_string(index)));
    harness.advance(second);
    // All caches respond, so the late attempts count as congestion and no cache as unresponsive.
    for (std::size_t index = 0; index < 3; ++index)
        harness.end_attempt(index, Outcome::completed, CacheStatus::hit);
    harness.advance(second * 0.1);
    Request large = new_request("late");
    large.size_kb = 4000;
    const StartedAttempt* attempt = harness.request(large);
    ASSERT_TRUE(attempt);
    EXPECT_EQ(attempt->plan.source, attempt->plan.cache);
    harness.end_attempt(harness.callbacks.attempts.size() - 1, Outcome::cache_miss);
    // Objects known to be missing bypass the parents: they are fetched from the origin within its budget, or
    // the request is rejected at once.
    int at_origin = 0;
    for (int index = 0; index < 40 && harness.callbacks.rejected.empty(); ++index) {
        at_origin += harness.callbacks.attempts.back().plan.source == CacheId{"o"};
        EXPECT_FALSE(harness.callbacks.parents.contains(harness.callbacks.attempts.back().plan.source));
        Request more = new_request("more" + std::to_string(index));
        more.size_kb = 4000;
        harness.request(more);
        harness.end_attempt(harness.callbacks.attempts.size() - 1, Outcome::cache_miss);
    }
    EXPECT_GT(at_origin, 0);
    EXPECT_FALSE(harness.callbacks.rejected.empty());
}

// Guards against continued load on a failing origin: most later requests allow cached copies only.
TEST_F(RouterCongestionTest, AFailingOriginGetsFewerFetches) {
    for (int n = 0; n < 30; ++n)
        request_and_end("o" + std::to_string(n), Outcome::overloaded, CacheStatus::origin_failed);
    int cached_only = 0;
    for (int n = 0; n < 100; ++n) {
        const StartedAttempt* attempt = harness.request(new_request("o" + std::to_string(n)));
        ASSERT_TRUE(attempt);
        cached_only += attempt->plan.only_if_cached;
        harness.end_attempt(harness.callbacks.attempts.size() - 1, Outcome::completed, CacheStatus::hit);
    }
    EXPECT_GT(cached_only, 50);
}

// Guards against rejecting small requests together with large ones. Large requests stay in flight until all
// caches are overloaded; then large requests are rejected, while a small one is still served.
TEST_F(RouterCongestionTest, WhenAllCachesAreOverloadedLargeRequestsAreRejectedFirst) {
    int n = 0;
    for (; n < 500; ++n) {
        Request request = new_request("o" + std::to_string(n));
        request.size_kb = 2000;
        if (!harness.request(request)) break;
    }
    EXPECT_LT(n, 500);
    Request small = new_request("small");
    small.size_kb = 20;
    EXPECT_TRUE(harness.request(small));
}

// Guards against shedding objects of unknown size regardless of their transfer time. A small and a large
// object have been served once each; when all caches are overloaded, only the request for the large one is
// rejected.
TEST_F(RouterCongestionTest, TransferTimesOfObjectsWithoutASizeAreLearned) {
    for (const auto& [name, took] : {std::pair{"small", 0.02}, std::pair{"large", 2.0}}) {
        Request request = new_request(name);
        request.size_kb = 0;
        harness.request(request);
        const std::size_t position = harness.callbacks.attempts.size() - 1;
        harness.advance(Duration::seconds(took));
        harness.end_attempt(position, Outcome::completed, CacheStatus::hit);
    }
    for (int n = 0; n < 500; ++n) {
        Request request = new_request("o" + std::to_string(n));
        request.size_kb = 2000;
        if (!harness.request(request)) break;
    }
    Request small = new_request("small"), large = new_request("large");
    small.size_kb = large.size_kb = 0;
    EXPECT_FALSE(harness.request(large));
    EXPECT_TRUE(harness.request(small));
}

// Guards against adding fills to congested links: a request does not spill from its loaded first cache to
// another cache, which has no copy.
TEST_F(RouterCongestionTest, ARequestStaysWithItsCacheWhileFillsAreCongested) {
    const std::string name = object_of_cache("e1");
    for (int n = 0; n < 30; ++n) harness.request(new_request(name));
    harness.advance(second);
    // All caches respond, and the caches other than e1 have spare capacity.
    std::map<CacheId, int> ended;
    for (std::size_t n = harness.callbacks.attempts.size(); n-- > 0;) {
        const CacheId cache = harness.callbacks.attempts[n].plan.cache;
        if (harness.callbacks.attempts[n].in_flight && ended[cache]++ < (cache == CacheId{"e1"} ? 1 : 4))
            harness.end_attempt(n, Outcome::completed, CacheStatus::hit);
    }
    harness.advance(second * 0.1);
    const StartedAttempt* attempt = harness.request(new_request(name));
    ASSERT_TRUE(attempt);
    EXPECT_EQ(attempt->plan.cache, CacheId{"e1"});
}

// Guards against filling only from slow parents, and against moving all fills to the origin. While the fills
// of the parents are late, the origin serves a part of the requests, but not all.
TEST_F(RouterCongestionTest, LateFillsReduceAParentsShareAndTheOriginTakesTheRest) {
    int at_origin = 0;
    for (int n = 0; n < 200; ++n) {
        Request request = new_request("o" + std::to_string(n));
        request.size_kb = 20;
        ASSERT_TRUE(harness.request(request));
        const bool origin = harness.callbacks.attempts.back().plan.source == CacheId{"o"};
        at_origin += origin;
        const std::size_t position = harness.callbacks.attempts.size() - 1;
        harness.advance(second * (origin ? 0.1 : 1.5));
        harness.end_attempt(position, Outcome::completed,
                            origin ? CacheStatus::via_origin : CacheStatus::filled);
    }
    EXPECT_GT(at_origin, 20);
    EXPECT_LT(at_origin, 180);
}

// Guards against attributing the origin's delay to the parents: fills through parents are late because the
// origin is slow, and the parents keep their share.
TEST_F(RouterCongestionTest, ASlowOriginBehindAParentDoesNotReduceTheParentsShare) {
    for (int n = 0; n < 40; ++n) {
        const std::string name = "o" + std::to_string(n);
        ASSERT_TRUE(harness.request(new_request(name)));
        const std::size_t position = harness.callbacks.attempts.size() - 1;
        EXPECT_TRUE(harness.callbacks.parents.contains(harness.callbacks.attempts[position].plan.source));
        harness.advance(second * 0.8);
        harness.end_attempt(position, Outcome::completed, CacheStatus::via_origin);
        harness.advance(second * 20);
    }
}

// Guards against a reduced share of an origin that never recovers because no fetch succeeds meanwhile. Half a
// minute after the failures, without a fetch in between, requests may fetch from the origin as before.
TEST_F(RouterCongestionTest, AReducedShareOfTheOriginRecoversWithoutFetches) {
    for (int n = 0; n < 30; ++n, harness.advance(second * 0.2))
        request_and_end("o" + std::to_string(n), Outcome::overloaded, CacheStatus::origin_failed);
    harness.advance(second * 30);
    for (int n = 0; n < 50; ++n)
        EXPECT_FALSE(request_and_end("n" + std::to_string(n), Outcome::completed, CacheStatus::hit)
                         .plan.only_if_cached);
}

// Guards against ignoring the load that other gateways put on a shared cache. Ten gateways share a cache, and
// a slow hit there indicates the load of the other nine: large requests go elsewhere, small ones only when
// the hit is much slower, and all return to the cache after a while.
TEST(ManyGateways, LargeRequestsAvoidACacheWithSlowHitsFirst) {
    for (const auto& [took, small_stays] : {std::pair{0.7, true}, std::pair{1.7, false}}) {
        Deployment settings = deployment();
        settings.gateways_in_location = 10;
        settings.kinds[0].latency_objective = second * 2;
        RouterHarness harness{settings};
        const StartedAttempt* first = harness.request(request_for("a", "x", harness.now + second * 5));
        ASSERT_TRUE(first);
        const CacheId home = first->plan.cache;
        harness.advance(Duration::seconds(took));
        harness.end_attempt(0, Outcome::completed, CacheStatus::hit);
        Request small = request_for("small", "x", harness.now + second * 5), large = small;
        large.id = request_id_named("large");
        large.size_kb = 50000;
        const StartedAttempt* attempt = harness.request(large);
        EXPECT_TRUE(attempt && attempt->plan.cache != home);
        attempt = harness.request(small);
        ASSERT_TRUE(attempt);
        EXPECT_EQ(attempt->plan.cache == home, small_stays);
        harness.advance(second * 60);
        attempt = harness.request(request_for("later", "x", harness.now + second * 5));
        EXPECT_TRUE(attempt && attempt->plan.cache == home)
            << "the estimated load of the cache has not decayed";
    }
}

}  // namespace
}  // namespace irismux::testing
