// Tests routing with failing endpoints: which endpoints the router ejects, and how it handles the requests at
// these endpoints.
#include "router_fixture.hpp"

namespace irismux::testing {
namespace {

class RouterHealthTest : public RouterTest {};

// A cache may still refuse connections when the backoff of its ejection ends. A gateway that then sent this
// cache all requests for the cache's objects would have each request refused. The test expects that only one
// request goes to the cache, as the recovery probe. If the probe is refused too, the next backoff must be
// twice as long.
TEST_F(RouterHealthTest, ARefusedConnectionEjectsAndTheBackoffDoublesWithOneRecoveryProbe) {
    const std::string name = object_of_cache("e1");
    request_and_end(name, Outcome::connection_refused);
    EXPECT_NE(request_and_end(name, Outcome::completed, CacheStatus::hit).plan.cache, CacheId{"e1"});
    harness.advance(second * 2.1);
    const StartedAttempt* probe = harness.request(new_request(name));
    ASSERT_TRUE(probe);
    EXPECT_EQ(probe->plan.cache, CacheId{"e1"});
    const std::size_t position = harness.callbacks.attempts.size() - 1;
    EXPECT_NE(harness.request(new_request(name))->plan.cache, CacheId{"e1"})
        << "a second request goes to the cache during the recovery probe";
    harness.end_attempt(position, Outcome::connection_refused);
    harness.advance(second * 2.1);
    EXPECT_NE(harness.request(new_request(name))->plan.cache, CacheId{"e1"}) << "the backoff has not doubled";
    harness.advance(second * 2.1);
    EXPECT_EQ(harness.request(new_request(name))->plan.cache, CacheId{"e1"});
}

// One gateway checks an ejected cache on behalf of all gateways, and passes the time of the next recovery
// probe to the other gateways. If that gateway postponed the probe again and again, the cache would stay
// ejected for ever. A passed probe time may bring the probe of this gateway forward, or postpone the probe by
// the longest backoff at most, however often a time is passed. A probe time must have no effect on a cache
// that is not ejected. The router must report the ejection and the readmission once each.
TEST_F(RouterHealthTest, AnotherGatewayPostponesTheRecoveryProbeWithinABound) {
    const std::string name = object_of_cache("e1");
    const auto probes = [&] { return harness.request(new_request(name))->plan.cache == CacheId{"e1"}; };
    harness.router.postpone_recovery_probe(harness.now, CacheId{"e1"}, harness.now + second * 100);
    EXPECT_TRUE(probes());
    harness.end_attempt(harness.callbacks.attempts.size() - 1, Outcome::connection_refused);
    ASSERT_EQ(harness.callbacks.ejection_changes.size(), 1u);
    EXPECT_EQ(harness.callbacks.ejection_changes[0], (std::pair{CacheId{"e1"}, true}));
    EXPECT_FALSE(probes());
    harness.router.postpone_recovery_probe(harness.now, CacheId{"e1"}, harness.now);
    EXPECT_TRUE(probes());
    harness.end_attempt(harness.callbacks.attempts.size() - 1,
                        Outcome::connection_refused);  // the backoff is now 4 s
    for (int n = 0; n < 33; ++n, harness.advance(second)) {
        harness.router.postpone_recovery_probe(harness.now, CacheId{"e1"}, harness.now + second * 5);
        EXPECT_FALSE(probes()) << n;
    }
    harness.advance(second * 2);
    EXPECT_TRUE(probes());
    harness.end_attempt(harness.callbacks.attempts.size() - 1, Outcome::completed, CacheStatus::hit);
    EXPECT_EQ(harness.callbacks.ejection_changes.back(), (std::pair{CacheId{"e1"}, false}));
    EXPECT_EQ(harness.callbacks.ejection_changes.size(), 2u);
}

// A gateway that never ejected the last parent would go on filling from a parent that no cache can reach. In
// the test, caches report that they have no connection to either parent. The router must eject both parents
// and fill from the origin.
TEST_F(RouterHealthTest, AnUnreachableParentIsEjectedEvenIfAllOthersAre) {
    for (const char* parent : {"p1", "p2"}) {
        const std::string name = object_of_parent(parent);
        request_and_end(name, Outcome::overloaded, CacheStatus::source_unreachable);
    }
    EXPECT_EQ(request_fill("x", CacheStatus::via_origin).plan.source, CacheId{"o"});
}

// A slow origin makes the fills at all parents time out. A gateway that ejected the parents for this reason
// would stop using them without need. In the test, the fills through all parents time out. The router must
// eject no parent, so the next fill must go through a parent.
TEST_F(RouterHealthTest, FillsThatTimeOutAtEveryParentEjectNone) {
    for (int n = 0; n < 30; ++n) {
        const StartedAttempt* attempt = harness.request(new_request("o" + std::to_string(n)));
        ASSERT_TRUE(attempt);
        const std::size_t position = harness.callbacks.attempts.size() - 1;
        harness.advance(second * 0.5);
        harness.end_attempt(position, Outcome::errored, CacheStatus::source_unreachable, true);
    }
    const CacheId source = request_and_end("x", Outcome::completed, CacheStatus::filled).plan.source;
    EXPECT_TRUE(source == CacheId{"p1"} || source == CacheId{"p2"});
}

// A cache that fails each attempt at once looks fast, so a gateway that looked at response times alone would
// prefer this cache. In the test, three attempts at e2 fail at once, and no attempt at the peers of e2 fails.
// The router must eject e2.
TEST_F(RouterHealthTest, FastErrorsEjectTheCacheThatStandsOut) {
    const std::string name = object_of_cache("e2");
    for (int n = 0; n < 3; ++n) request_and_end(name, Outcome::errored);
    EXPECT_NE(request_and_end(name, Outcome::completed, CacheStatus::hit).plan.cache, CacheId{"e2"});
}

// A cache may become slow without ever failing. A gateway that counted only failures would keep this cache in
// use. In the test, e2 serves three hits from its own copies, each after the latency limit, and the peers of
// e2 serve no hit late. The router must eject e2.
TEST_F(RouterHealthTest, LateHitsEjectTheCacheThatStandsOut) {
    const std::string name = object_of_cache("e2");
    for (int n = 0; n < 3; ++n) {
        ASSERT_TRUE(harness.request(new_request(name)));
        const std::size_t position = harness.callbacks.attempts.size() - 1;
        harness.advance(second * 1.5);
        harness.end_attempt(position, Outcome::completed, CacheStatus::hit);
    }
    EXPECT_NE(request_and_end(name, Outcome::completed, CacheStatus::hit).plan.cache, CacheId{"e2"});
}

// A fault of the network breaks transfers at all caches. A gateway that ejected caches for such a fault would
// stop using them without need. In the test, every fourth transfer breaks, regardless of its cache. All
// caches must stay in use.
TEST_F(RouterHealthTest, BrokenTransfersAtAllCachesEjectNone) {
    std::map<CacheId, int> attempts_at;
    for (int n = 0; n < 200; ++n, harness.advance(second * 0.1))
        ++attempts_at[request_and_end("o" + std::to_string(n % 50),
                                      n % 4 ? Outcome::completed : Outcome::connection_reset,
                                      CacheStatus::none)
                          .plan.cache];
    for (const char* cache : {"e1", "e2", "e3"}) EXPECT_GT(attempts_at[CacheId{cache}], 30) << cache;
}

// After a broken transfer, a gateway that always chose another cache would give up the copy that the first
// cache has, and a gateway that always chose the same cache might never get the object. In the test, the
// connection breaks during the first two attempts of a request. The second attempt must go to the same cache
// as the first, since this cache is not ejected. The third attempt must go to another cache.
TEST_F(RouterHealthTest, ABrokenTransferIsRetriedOnceAtTheSameCache) {
    const CacheId home = harness.request(new_request("x"))->plan.cache;
    harness.end_attempt(harness.callbacks.attempts.size() - 1, Outcome::connection_reset);
    EXPECT_EQ(harness.callbacks.attempts.back().plan.cache, home);
    harness.end_attempt(harness.callbacks.attempts.size() - 1, Outcome::connection_reset);
    EXPECT_NE(harness.callbacks.attempts.back().plan.cache, home);
}

// Without the detection of hung caches, requests would wait for a hung cache until their deadlines. In the
// test, a cache responds every 20 ms and then stops responding, while a peer goes on responding. The router
// must eject the cache and cancel the attempts there.
TEST_F(RouterHealthTest, AnUnresponsiveCacheIsEjectedAndItsAttemptsAreCancelled) {
    const std::string object_at_e1 = object_of_cache("e1"), object_at_e2 = object_of_cache("e2");
    for (int n = 0; n < 60; ++n) {
        harness.request(new_request(object_at_e1));
        harness.advance(second * 0.02);
        harness.end_attempt(harness.callbacks.attempts.size() - 1, Outcome::completed, CacheStatus::hit);
    }
    harness.request(new_request(object_at_e1));
    for (int n = 0; n < 30; ++n) {
        harness.advance(second * 0.05);
        request_and_end(object_at_e2, Outcome::completed, CacheStatus::hit);
    }
    EXPECT_FALSE(harness.callbacks.cancelled.empty());
    EXPECT_NE(request_and_end(object_at_e1, Outcome::completed, CacheStatus::hit).plan.cache, CacheId{"e1"});
}

// A hung cache may still reject attempts as overloaded. A gateway that took these rejections for a sign of
// health would keep the cache in use. In the test, a cache responds every 20 ms and then only rejects
// attempts, while a peer goes on responding. The router must eject the cache as unresponsive.
TEST_F(RouterHealthTest, ACacheThatOnlyRejectsIsUnresponsive) {
    const std::string object_at_e1 = object_of_cache("e1"), object_at_e2 = object_of_cache("e2");
    for (int n = 0; n < 60; ++n) {
        harness.request(new_request(object_at_e1));
        harness.advance(second * 0.02);
        harness.end_attempt(harness.callbacks.attempts.size() - 1, Outcome::completed, CacheStatus::hit);
    }
    harness.request(new_request(object_at_e1));
    for (int n = 0; n < 30; ++n) {
        harness.advance(second * 0.05);
        request_and_end(object_at_e2, Outcome::completed, CacheStatus::hit);
        request_and_end(object_at_e1, Outcome::overloaded);
    }
    EXPECT_NE(request_and_end(object_at_e1, Outcome::completed, CacheStatus::hit).plan.cache, CacheId{"e1"});
}

// A cache that loses some attempts is not congested. A gateway that waited for a lost attempt until the
// deadline could not repeat the attempt in time. In the test, every fourth attempt at e1 gets no response,
// and each other attempt there gets a response at once. The late attempts at e1 must not count as congestion.
// The next request for an object of e1 must begin with a cache-only attempt that has a short timeout. If this
// attempt is lost, the next attempt must go to e1 too.
TEST_F(RouterHealthTest, ACacheThatLosesAttemptsGetsACacheOnlyAttemptFirst) {
    const std::string object_at_e1 = object_of_cache("e1"), object_at_e2 = object_of_cache("e2");
    std::vector<std::pair<TimePoint, std::size_t>> lost;
    for (int n = 0; n < 200; ++n) {
        for (const std::string& object : {object_at_e1, object_at_e2}) {
            Request request = new_request(object);
            request.deadline = harness.now + second;
            ASSERT_TRUE(harness.request(request));
            const std::size_t position = harness.callbacks.attempts.size() - 1;
            harness.advance(second * 0.02);
            if (object == object_at_e1 && n % 4 == 0)
                lost.emplace_back(request.deadline, position);
            else
                harness.end_attempt(position, Outcome::completed, CacheStatus::hit);
        }
        harness.advance(second * 0.06);
        while (!lost.empty() && lost.front().first <= harness.now) {
            harness.end_attempt(lost.front().second, Outcome::deadline_exceeded, CacheStatus::none, true);
            lost.erase(lost.begin());
        }
    }
    ASSERT_TRUE(harness.request(new_request(object_at_e2)));
    EXPECT_FALSE(harness.callbacks.attempts.back().plan.only_if_cached)
        << "lost attempts count as congestion";
    ASSERT_TRUE(harness.request(new_request(object_at_e1)));
    const StartedAttempt cache_only_attempt = harness.callbacks.attempts.back();
    EXPECT_TRUE(cache_only_attempt.plan.only_if_cached && cache_only_attempt.plan.cache == CacheId{"e1"});
    ASSERT_GT(cache_only_attempt.plan.timeout, Duration{});
    EXPECT_LT(cache_only_attempt.plan.timeout, kind_of(Effect::idempotent).latency_objective);
    const std::size_t position = harness.callbacks.attempts.size() - 1;
    harness.advance(second * 0.02);
    request_and_end(object_at_e1, Outcome::completed, CacheStatus::hit);
    harness.end_attempt(position, Outcome::deadline_exceeded);
    EXPECT_EQ(harness.callbacks.attempts.back().request, cache_only_attempt.request);
    EXPECT_EQ(harness.callbacks.attempts.back().plan.cache, CacheId{"e1"});
}

}  // namespace
}  // namespace irismux::testing
