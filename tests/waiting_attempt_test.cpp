// Tests Router::may_begin_attempt. This function checks an attempt a second time, after the attempt has
// waited for a connection and before its first byte is sent. Idempotency windows and shutdown are tested with
// whole processes (event_order_test, shutdown_test).
#include "router_test_support.hpp"

using namespace irismux;
using namespace irismux::testing;

namespace {

const Duration second = Duration::seconds(1);

class WaitingAttempt : public ::testing::Test {
protected:
    RouterHarness harness;
    bool may_begin(std::size_t position) {
        return harness.router.may_begin_attempt(harness.now, harness.callbacks.attempts[position].request,
                                                harness.callbacks.attempts[position].index);
    }
    std::size_t last() const { return harness.callbacks.attempts.size() - 1; }
    void TearDown() override {
        EXPECT_TRUE(harness.callbacks.violations.empty()) << harness.callbacks.violations.front();
    }
};

TEST_F(WaitingAttempt, DoesNotBeginOnceItsClientHasClosed) {
    ASSERT_TRUE(harness.request(request_for("l", "x", harness.now + second * 5)));
    EXPECT_TRUE(may_begin(last()));
    harness.router.on_client_closed(harness.now, request_id_named("l"));
    EXPECT_FALSE(may_begin(last()));
    harness.callbacks.unanswered.clear();
}

// The cache of an attempt, or the source from which the cache is to fill, may restart while the attempt waits
// for a connection. A router that did not check the attempt again would send too much to the new process. The
// test restarts the cache or the source of a waiting attempt. The attempt must not begin until the budget of
// the new slow start allows it, and the budget must be charged once, even if the attempt is checked twice.
TEST_F(WaitingAttempt, MustFitTheBudgetOfAnEndpointThatHasRestarted) {
    for (const bool source : {false, true}) {
        const std::string id = source ? "s" : "c";
        const StartedAttempt* attempt = harness.request(request_for(id, "x", harness.now + second * 30));
        ASSERT_TRUE(attempt);
        ASSERT_NE(attempt->plan.source, attempt->plan.cache);
        const std::size_t position = last();
        const CacheId restarted = source ? attempt->plan.source : attempt->plan.cache;
        EXPECT_TRUE(may_begin(position));
        harness.advance(second);
        for (EndpointUpdate endpoint : usual_endpoints()) {
            if (endpoint.cache != restarted) continue;
            endpoint.started_at = harness.now;
            harness.update_endpoints({endpoint});
        }
        harness.advance(Duration::micros(1000));
        EXPECT_FALSE(may_begin(position)) << restarted.raw();
        harness.advance(second * 5);
        EXPECT_TRUE(may_begin(position) && may_begin(position)) << restarted.raw();
        harness.end_attempt(position, Outcome::completed, CacheStatus::filled);
    }
}

// Some requests may be retried only within the cell of their first attempt. A router that forgot the cell of
// a removed cache would retry the request in another cell. In the test, a cache is removed 30 s before the
// attempt at this cache fails. The request must not be retried, since the cell of the removed cache has no
// other cache.
TEST(RemovedCache, ItsAttemptsAreNotRetriedOutsideTheirCell) {
    Deployment settings = deployment();
    settings.kinds[2].dedup_scope = DedupScope::cell;
    settings.kinds[2].dedup_window = second * 200;
    settings.kinds[2].deadline = second * 200;
    settings.capabilities.max_attempts = 2;
    std::vector<EndpointUpdate> endpoints = usual_endpoints();
    endpoints.resize(3);  // e1, e2 of cell 0 and e3 of cell 1
    endpoints.push_back(usual_endpoints()[5]);
    RouterHarness harness(settings, 7, endpoints);
    std::string name;
    for (int number = 0; name.empty(); ++number) {
        ASSERT_LT(number, 200);
        const std::string id = "o" + std::to_string(number);
        if (harness.request(request_for(id, id, harness.now + second * 200, 2))->plan.cache == CacheId{"e3"})
            name = id;
        else
            harness.end_attempt(harness.callbacks.attempts.size() - 1, Outcome::completed,
                                CacheStatus::filled);
    }
    const std::size_t position = harness.callbacks.attempts.size() - 1;
    EndpointUpdate removed = endpoints[2];
    removed.status = EndpointStatus::removed;
    harness.update_endpoints({removed});
    // The router keeps a removed cache while an attempt at this cache is in flight. Without this attempt, the
    // router would erase the cache at the next update, since the longest slow-start window (20 s) has passed.
    harness.advance(second * 30);
    harness.update_endpoints({endpoints[0]});
    const std::size_t count_before = harness.callbacks.attempts.size();
    harness.end_attempt(position, Outcome::connection_reset);
    EXPECT_EQ(harness.callbacks.attempts.size(), count_before) << "the request is retried outside its cell";
    EXPECT_TRUE(harness.callbacks.violations.empty()) << harness.callbacks.violations.front();
}

}  // namespace
