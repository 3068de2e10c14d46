// Failing endpoints: which endpoints are ejected, and how the router handles the requests there.
#include "router_fixture.hpp"

namespace irismux::testing {
namespace {

class RouterHealthTest : public RouterTest {};

// Guards against sending more than a single request to a cache that still refuses connections when its
// backoff ends. One request is the recovery probe; if it is refused too, the next backoff is twice as long.
TEST_F(RouterHealthTest, ARefusedConnectionEjectsAndTheBackoffDoublesWithOneRecoveryProbe) {
    const std::string name = object_of_cache("e1");
    request_and_end(name, Outcome::connection_refused);
    EXPECT_NE(request_and_end(name, Outcome::completed, CacheStatus::hit).plan.cache, CacheId{"e1"});
    harness.advance(second * 2.1);
    const StartedAttempt* probe = harness.request(new_request(name));
    ASSERT_TRUE(probe);
    EXPECT_EQ(probe->plan.cache, CacheId{"e1"});
    const std::size_t position = harness.callbacks.attempts.size() - 1;
    EXPECT_NE(harness.request(new_request(name))->plan.cache, CacheId{"e1"}) << "a second recovery probe";
    harness.end_attempt(position, Outcome::connection_refused);
    harness.advance(second * 2.1);
    EXPECT_NE(harness.request(new_request(name))->plan.cache, CacheId{"e1"}) << "the backoff has not doubled";
    harness.advance(second * 2.1);
    EXPECT_EQ(harness.request(new_request(name))->plan.cache, CacheId{"e1"});
}

// Guards against a cache that stays ejected because another gateway, which checks it on behalf of all, keeps
// postponing its probe. That gateway's probe time brings the probe forward, or postpones it by the longest
// backoff at most, however often it is passed. It has no effect on a cache that is not ejected. Ejection and
// readmission are reported once each.
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

// Guards against keeping an unreachable parent in use because it is the last one. Caches report that they
// have no connection to either parent; both parents are ejected and the origin serves the fills.
TEST_F(RouterHealthTest, AnUnreachableParentIsEjectedEvenIfAllOthersAre) {
    for (const char* parent : {"p1", "p2"}) {
        const std::string name = object_of_parent(parent);
        request_and_end(name, Outcome::overloaded, CacheStatus::source_unreachable);
    }
    EXPECT_EQ(request_fill("x", CacheStatus::via_origin).plan.source, CacheId{"o"});
}

// Guards against ejecting the parents for a slow origin: the fills through all parents time out, and no
// parent is ejected.
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

// Guards against preferring a cache that fails at once, and so looks fast: it is ejected if its peers don't
// fail.
TEST_F(RouterHealthTest, FastErrorsEjectTheCacheThatStandsOut) {
    const std::string name = object_of_cache("e2");
    for (int n = 0; n < 3; ++n) request_and_end(name, Outcome::errored);
    EXPECT_NE(request_and_end(name, Outcome::completed, CacheStatus::hit).plan.cache, CacheId{"e2"});
}

// Guards against keeping a slow cache in use because late hits are no errors: a cache that serves its own
// copies late is ejected if its peers don't.
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

// Guards against ejecting caches for a fault of the network: it breaks every fourth transfer of all caches,
// and all caches stay in use.
TEST_F(RouterHealthTest, BrokenTransfersAtAllCachesEjectNone) {
    std::map<CacheId, int> attempts_at;
    for (int n = 0; n < 200; ++n, harness.advance(second * 0.1))
        ++attempts_at[request_and_end("o" + std::to_string(n % 50),
                                      n % 4 ? Outcome::completed : Outcome::connection_reset,
                                      CacheStatus::none)
                          .plan.cache];
    for (const char* cache : {"e1", "e2", "e3"}) EXPECT_GT(attempts_at[CacheId{cache}], 30) << cache;
}

// Guards against missing a copy that exists, and against repeating at one cache only. After a broken
// connection the second attempt goes to the same cache, which has the object, unless it is ejected; the third
// goes to another cache.
TEST_F(RouterHealthTest, ABrokenTransferIsRetriedOnceAtTheSameCache) {
    const CacheId home = harness.request(new_request("x"))->plan.cache;
    harness.end_attempt(harness.callbacks.attempts.size() - 1, Outcome::connection_reset);
    EXPECT_EQ(harness.callbacks.attempts.back().plan.cache, home);
    harness.end_attempt(harness.callbacks.attempts.size() - 1, Outcome::connection_reset);
    EXPECT_NE(harness.callbacks.attempts.back().plan.cache, home);
}

// Guards against waiting for a hung cache until the deadline. A cache has responded every 20 ms and then
// stops while a peer responds; it is ejected and its attempts are cancelled.
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

// Guards against taking rejections as a sign of health. A hung cache still rejects attempts as overloaded
// while a peer responds; it is ejected as unresponsive.
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

// Guards against taking lost attempts for congestion, and against waiting for them until the deadline. A
// cache never responds to every fourth attempt and responds to the others at once. Its late attempts don't
// count as congestion; its next request begins with a cache-only attempt with a short timeout, which is
// repeated at this cache if it is lost.
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
