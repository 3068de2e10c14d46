// Tests routing under overload: congested fills, overloaded caches, and a reduced share of fetches from the
// origin.
#include "router_fixture.hpp"

namespace irismux::testing {
namespace {

class RouterCongestionTest : public RouterTest {};

// While fills are congested, a large request that starts one more fill would slow down the fills in progress.
// In the test, attempts exceed their latency objective at caches that respond, so fills are congested. A
// large request must then ask for a cached copy first. If the cache has no copy, the object must be fetched
// from the origin within the origin's budget, or the request must be rejected.
TEST_F(RouterCongestionTest, CongestedFillsMakeLargeRequestsTryCachedCopiesFirst) {
    for (int index = 0; index < 8; ++index) harness.request(new_request("o" + std::to_string(index)));
    harness.advance(second);
    // All caches respond, so the late attempts count as congestion, and no cache counts as unresponsive.
    for (std::size_t index = 0; index < 3; ++index)
        harness.end_attempt(index, Outcome::completed, CacheStatus::hit);
    harness.advance(second * 0.1);
    Request large = new_request("late");
    large.size_kb = 4000;
    const StartedAttempt* attempt = harness.request(large);
    ASSERT_TRUE(attempt);
    EXPECT_EQ(attempt->plan.source, attempt->plan.cache);
    harness.end_attempt(harness.callbacks.attempts.size() - 1, Outcome::cache_miss);
    // Requests whose cache has reported a miss bypass the parents: the object is fetched from the origin
    // within the origin's budget, or the request is rejected at once.
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

// A gateway that went on fetching from a failing origin would keep the origin overloaded. In the test, 30
// fetches fail at the origin. More than half of the next 100 requests must allow cached copies only.
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

// A gateway that rejected small and large requests alike when all caches are overloaded would reject many
// small requests although these need little link time. The test starts large requests, which all stay in
// flight, until the router rejects one because all caches are overloaded. A small request must still be
// served.
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

// Some requests do not name the size of their object. If all caches are overloaded, a gateway without another
// estimate would reject these requests regardless of their transfer times. In the test, the router first
// serves a small and a large object once each, and learns their transfer times. When all caches are
// overloaded, the router must reject the request for the large object and serve the request for the small
// object.
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

// A request that spills from its loaded first cache to another cache finds no copy there and needs a fill.
// While fills are congested, such a request would add to the congestion. In the test, fills are congested and
// cache e1 is loaded, but the other caches have spare capacity. A request whose first cache is e1 must stay
// at e1.
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

// While fills through the parents are late, a gateway that filled from the parents only would stay slow, and
// a gateway that moved all fills to the origin would overload the origin. In the test, a fill takes 1.5 s
// through a parent and 0.1 s from the origin. The origin must serve a part of the requests, but not all.
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

// A slow origin also delays the fills through the parents. A gateway that attributed this delay to the
// parents would reduce the parents' share of the fills without need. In the test, each fill through a parent
// takes 0.8 s because the parent waits for the origin. All requests must still be filled through the parents.
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

// A gateway sends fewer fetches to an origin that fails. If only a successful fetch could restore the
// origin's share of the fetches, this share could stay reduced for ever, because there may be no fetch. In
// the test, fetches fail, and then half a minute passes without a fetch. Requests must be allowed to fetch
// from the origin again as before the failures.
TEST_F(RouterCongestionTest, AReducedShareOfTheOriginRecoversWithoutFetches) {
    for (int n = 0; n < 30; ++n, harness.advance(second * 0.2))
        request_and_end("o" + std::to_string(n), Outcome::overloaded, CacheStatus::origin_failed);
    harness.advance(second * 30);
    for (int n = 0; n < 50; ++n)
        EXPECT_FALSE(request_and_end("n" + std::to_string(n), Outcome::completed, CacheStatus::hit)
                         .plan.only_if_cached);
}

// A gateway that counted only its own attempts would overlook the load that other gateways put on a cache,
// and keep sending large requests to an overloaded cache. In the test, ten gateways share a cache. The router
// of one gateway gets a slow hit there, from which it must estimate the load by the other nine gateways.
// Large requests must then go to another cache. Small requests must go to another cache only if the hit took
// 1.7 s and not if it took 0.7 s. After a minute, requests must go to the first cache again.
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
