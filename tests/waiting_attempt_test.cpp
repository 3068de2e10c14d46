// Router::may_begin_attempt: an attempt that has waited is judged again at its first byte. Idempotency
// windows and shutdown are tested with whole processes (event_order_test, shutdown_test).
#include "router_test_support.hpp"

using namespace irismux;
using namespace irismux::testing;

namespace {

const Duration second = Duration::seconds(1);

class WaitingAttempt : public ::testing::Test {
protected:
    RouterHarness harness;
    bool may_begin(std::size_t s) {
        return harness.router.may_begin_attempt(harness.now, harness.callbacks.attempts[s].request,
                                                harness.callbacks.attempts[s].index);
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

// Given an attempt that waits, when its cache or its source restarts, then it may begin only within the new
// budget, which is charged once.
TEST_F(WaitingAttempt, MustFitTheBudgetOfAnEndpointThatHasRestarted) {
    for (const bool source : {false, true}) {
        const std::string id = source ? "s" : "c";
        const StartedAttempt* s = harness.request(request_for(id, "x", harness.now + second * 30));
        ASSERT_TRUE(s);
        ASSERT_NE(s->plan.source, s->plan.cache);
        const std::size_t n = last();
        const CacheId restarted = source ? s->plan.source : s->plan.cache;
        EXPECT_TRUE(may_begin(n));
        harness.advance(second);
        for (EndpointUpdate l : usual_endpoints()) {
            if (l.cache != restarted) continue;
            l.started_at = harness.now;
            harness.update_endpoints({l});
        }
        harness.advance(Duration::micros(1000));
        EXPECT_FALSE(may_begin(n)) << restarted.raw();
        harness.advance(second * 5);
        EXPECT_TRUE(may_begin(n) && may_begin(n)) << restarted.raw();
        harness.end_attempt(n, Outcome::completed, CacheStatus::filled);
    }
}

// Given a request that may only be repeated within its cell, when its cache has long been removed, then it
// stays in that cell all the same.
TEST(RemovedCache, StillTellsTheCellOfItsAttempts) {
    Deployment d = deployment();
    d.kinds[2].dedup_scope = DedupScope::cell;
    d.kinds[2].dedup_window = second * 200;
    d.kinds[2].deadline = second * 200;
    d.capabilities.max_attempts = 2;
    std::vector<EndpointUpdate> first = usual_endpoints();
    first.resize(3);  // e1, e2 of cell 0 and e3 of cell 1
    first.push_back(usual_endpoints()[5]);
    RouterHarness harness(d, 7, first);
    std::string name;
    for (int n = 0; name.empty(); ++n) {
        ASSERT_LT(n, 200);
        const std::string id = "o" + std::to_string(n);
        if (harness.request(request_for(id, id, harness.now + second * 200, 2))->plan.cache == CacheId{"e3"})
            name = id;
        else
            harness.end_attempt(harness.callbacks.attempts.size() - 1, Outcome::completed,
                                CacheStatus::filled);
    }
    const std::size_t at = harness.callbacks.attempts.size() - 1;
    EndpointUpdate gone = first[2];
    gone.status = EndpointStatus::removed;
    harness.update_endpoints({gone});
    // The cache is kept while a result is to come, and erased with the first list after that.
    harness.advance(second * 30);
    harness.update_endpoints({first[0]});
    const std::size_t before = harness.callbacks.attempts.size();
    harness.end_attempt(at, Outcome::connection_reset);
    EXPECT_EQ(harness.callbacks.attempts.size(), before) << "repeated outside its cell";
    EXPECT_TRUE(harness.callbacks.violations.empty()) << harness.callbacks.violations.front();
}

}  // namespace
