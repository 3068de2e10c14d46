// Endpoints that fail: who is ejected, and what becomes of the requests there.
#include "router_fixture.hpp"

namespace irismux::testing {
namespace {

class RouterHealthTest : public RouterTest {};

// Given a cache that refuses connections, when its backoff ends, then one request is its recovery probe; when
// that is refused too, the next backoff is twice as long.
TEST_F(RouterHealthTest, ARefusedConnectionEjectsAndTheBackoffDoublesWithOneRecoveryProbe) {
    const std::string name = object_of_cache("e1");
    request_and_end(name, Outcome::connection_refused);
    EXPECT_NE(request_and_end(name, Outcome::completed, CacheStatus::hit).plan.cache, CacheId{"e1"});
    harness.advance(second * 2.1);
    const StartedAttempt* probe = harness.request(new_request(name));
    ASSERT_TRUE(probe);
    EXPECT_EQ(probe->plan.cache, CacheId{"e1"});
    const std::size_t at = harness.callbacks.attempts.size() - 1;
    EXPECT_NE(harness.request(new_request(name))->plan.cache, CacheId{"e1"}) << "a second recovery probe";
    harness.end_attempt(at, Outcome::connection_refused);
    harness.advance(second * 2.1);
    EXPECT_NE(harness.request(new_request(name))->plan.cache, CacheId{"e1"}) << "the backoff has not doubled";
    harness.advance(second * 2.1);
    EXPECT_EQ(harness.request(new_request(name))->plan.cache, CacheId{"e1"});
}

// Given an ejected cache that another gateway checks on behalf of all, when that gateway says when to probe,
// then the probe is brought forward, or put off by one longest backoff at most, however often it is said. For
// a cache that is not ejected it means nothing. Ejection and readmission are reported once each.
TEST_F(RouterHealthTest, AnotherGatewaysCheckMovesTheRecoveryProbeWithinABound) {
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
                        Outcome::connection_refused);  // the backoff is four seconds
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

// Given caches that have no connection to either parent, when they report it, then both parents are ejected
// and the origin serves.
TEST_F(RouterHealthTest, AParentThatCannotBeReachedIsEjectedThoughAllOthersAre) {
    for (const char* p : {"p1", "p2"}) {
        const std::string name = object_of_parent(p);
        request_and_end(name, Outcome::overloaded, CacheStatus::source_unreachable);
    }
    EXPECT_EQ(request_fill("x", CacheStatus::via_origin).plan.source, CacheId{"o"});
}

// Given a slow origin, when the fills of all parents run out of time, then no parent is ejected.
TEST_F(RouterHealthTest, FillsThatRunOutOfTimeAtEveryParentEjectNone) {
    for (int n = 0; n < 30; ++n) {
        const StartedAttempt* s = harness.request(new_request("o" + std::to_string(n)));
        ASSERT_TRUE(s);
        const std::size_t at = harness.callbacks.attempts.size() - 1;
        harness.advance(second * 0.5);
        harness.end_attempt(at, Outcome::errored, CacheStatus::source_unreachable, true);
    }
    const CacheId source = request_and_end("x", Outcome::completed, CacheStatus::filled).plan.source;
    EXPECT_TRUE(source == CacheId{"p1"} || source == CacheId{"p2"});
}

// Given a cache that fails at once, which looks fast, when its peers don't fail, then it is ejected.
TEST_F(RouterHealthTest, FastErrorsEjectTheCacheThatStandsOut) {
    const std::string name = object_of_cache("e2");
    for (int n = 0; n < 3; ++n) request_and_end(name, Outcome::errored);
    EXPECT_NE(request_and_end(name, Outcome::completed, CacheStatus::hit).plan.cache, CacheId{"e2"});
}

// Given a cache that serves its own copies late, which is no error, when its peers don't, then it is ejected.
TEST_F(RouterHealthTest, LateHitsEjectTheCacheThatStandsOut) {
    const std::string name = object_of_cache("e2");
    for (int n = 0; n < 3; ++n) {
        ASSERT_TRUE(harness.request(new_request(name)));
        const std::size_t at = harness.callbacks.attempts.size() - 1;
        harness.advance(second * 1.5);
        harness.end_attempt(at, Outcome::completed, CacheStatus::hit);
    }
    EXPECT_NE(request_and_end(name, Outcome::completed, CacheStatus::hit).plan.cache, CacheId{"e2"});
}

// Given a network that breaks every fourth transfer, when all caches show it, then all stay in use.
TEST_F(RouterHealthTest, BrokenTransfersAtAllCachesEjectNone) {
    std::map<CacheId, int> seen;
    for (int n = 0; n < 200; ++n, harness.advance(second * 0.1))
        ++seen[request_and_end("o" + std::to_string(n % 50),
                               n % 4 ? Outcome::completed : Outcome::connection_reset, CacheStatus::none)
                   .plan.cache];
    for (const char* e : {"e1", "e2", "e3"}) EXPECT_GT(seen[CacheId{e}], 30) << e;
}

// Given a connection that breaks, when the cache is not ejected, then it gets a second attempt, since it has
// the object; the third goes elsewhere.
TEST_F(RouterHealthTest, ABrokenTransferIsRetriedOnceAtTheSameCache) {
    const CacheId home = harness.request(new_request("x"))->plan.cache;
    harness.end_attempt(harness.callbacks.attempts.size() - 1, Outcome::connection_reset);
    EXPECT_EQ(harness.callbacks.attempts.back().plan.cache, home);
    harness.end_attempt(harness.callbacks.attempts.size() - 1, Outcome::connection_reset);
    EXPECT_NE(harness.callbacks.attempts.back().plan.cache, home);
}

// Given a cache that has answered every 20 ms, when it falls silent while a peer responds, then it is ejected
// and its attempts are cancelled.
TEST_F(RouterHealthTest, AnUnresponsiveCacheIsEjectedAndItsAttemptsAreCancelled) {
    const std::string silent = object_of_cache("e1"), other = object_of_cache("e2");
    for (int n = 0; n < 60; ++n) {
        harness.request(new_request(silent));
        harness.advance(second * 0.02);
        harness.end_attempt(harness.callbacks.attempts.size() - 1, Outcome::completed, CacheStatus::hit);
    }
    harness.request(new_request(silent));
    for (int n = 0; n < 30; ++n) {
        harness.advance(second * 0.05);
        request_and_end(other, Outcome::completed, CacheStatus::hit);
    }
    EXPECT_FALSE(harness.callbacks.cancelled.empty());
    EXPECT_NE(request_and_end(silent, Outcome::completed, CacheStatus::hit).plan.cache, CacheId{"e1"});
}

// Given a cache that hangs but still turns attempts away, when a peer responds, then it is ejected for
// silence.
TEST_F(RouterHealthTest, ACacheThatOnlyTurnsAwayIsUnresponsive) {
    const std::string silent = object_of_cache("e1"), other = object_of_cache("e2");
    for (int n = 0; n < 60; ++n) {
        harness.request(new_request(silent));
        harness.advance(second * 0.02);
        harness.end_attempt(harness.callbacks.attempts.size() - 1, Outcome::completed, CacheStatus::hit);
    }
    harness.request(new_request(silent));
    for (int n = 0; n < 30; ++n) {
        harness.advance(second * 0.05);
        request_and_end(other, Outcome::completed, CacheStatus::hit);
        request_and_end(silent, Outcome::overloaded);
    }
    EXPECT_NE(request_and_end(silent, Outcome::completed, CacheStatus::hit).plan.cache, CacheId{"e1"});
}

// Given a cache that never answers every fourth attempt and the others at once, when it is sent again, then
// its late attempts count as no congestion, a cache-only attempt with a short timeout comes first, and one
// that is lost is repeated there.
TEST_F(RouterHealthTest, ACacheThatLosesAttemptsIsAskedForCachedCopiesFirst) {
    const std::string mine = object_of_cache("e1"), other = object_of_cache("e2");
    std::vector<std::pair<TimePoint, std::size_t>> unanswered;
    for (int n = 0; n < 200; ++n) {
        for (const std::string& object : {mine, other}) {
            Request a = new_request(object);
            a.deadline = harness.now + second;
            ASSERT_TRUE(harness.request(a));
            const std::size_t at = harness.callbacks.attempts.size() - 1;
            harness.advance(second * 0.02);
            if (object == mine && n % 4 == 0)
                unanswered.emplace_back(a.deadline, at);
            else
                harness.end_attempt(at, Outcome::completed, CacheStatus::hit);
        }
        harness.advance(second * 0.06);
        while (!unanswered.empty() && unanswered.front().first <= harness.now) {
            harness.end_attempt(unanswered.front().second, Outcome::deadline_exceeded, CacheStatus::none,
                                true);
            unanswered.erase(unanswered.begin());
        }
    }
    ASSERT_TRUE(harness.request(new_request(other)));
    EXPECT_FALSE(harness.callbacks.attempts.back().plan.only_if_cached) << "taken for congestion";
    ASSERT_TRUE(harness.request(new_request(mine)));
    const StartedAttempt look = harness.callbacks.attempts.back();
    EXPECT_TRUE(look.plan.only_if_cached && look.plan.cache == CacheId{"e1"});
    ASSERT_GT(look.plan.timeout, Duration{});
    EXPECT_LT(look.plan.timeout, kind_of(Effect::idempotent).latency_objective);
    const std::size_t at = harness.callbacks.attempts.size() - 1;
    harness.advance(second * 0.02);
    request_and_end(mine, Outcome::completed, CacheStatus::hit);
    harness.end_attempt(at, Outcome::deadline_exceeded);
    EXPECT_EQ(harness.callbacks.attempts.back().request, look.request);
    EXPECT_EQ(harness.callbacks.attempts.back().plan.cache, CacheId{"e1"});
}

}  // namespace
}  // namespace irismux::testing
