// What the decisions say of a send that has waited, when its first byte could go. Windows and ends of the
// process are forced on whole processes (crossing_test, leave_test).
#include "router_test_support.hpp"

using namespace irismux;
using namespace irismux::testing;

namespace {

const Duration second = Duration::seconds(1);

class Waiting : public ::testing::Test {
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

TEST_F(Waiting, AClientThatHasLeftLetsNothingBegin) {
    ASSERT_TRUE(harness.request(request_for("l", "x", harness.now + second * 5)));
    EXPECT_TRUE(may_begin(last()));
    harness.router.on_client_closed(harness.now, request_id_named("l"));
    EXPECT_FALSE(may_begin(last()));
    harness.callbacks.unanswered.clear();
}

// Of the cache or of the source: a gateway that has just heard of a start has nothing to spend, and a send
// that was judged once is not charged again.
TEST_F(Waiting, AStartToldMeanwhileHoldsItToItsBudget) {
    for (const bool source : {false, true}) {
        const std::string id = source ? "s" : "c";
        const StartedAttempt* s = harness.request(request_for(id, "x", harness.now + second * 30));
        ASSERT_TRUE(s);
        ASSERT_NE(s->plan.source, s->plan.cache);
        const std::size_t n = last();
        const CacheId again = source ? s->plan.source : s->plan.cache;
        EXPECT_TRUE(may_begin(n));
        harness.advance(second);
        for (EndpointUpdate l : usual_endpoints()) {
            if (l.cache != again) continue;
            l.started_at = harness.now;
            harness.update_endpoints({l});
        }
        harness.advance(Duration::micros(1000));
        EXPECT_FALSE(may_begin(n)) << again.raw();
        harness.advance(second * 5);
        EXPECT_TRUE(may_begin(n) && may_begin(n)) << again.raw();
        harness.end_attempt(n, Outcome::completed, CacheStatus::filled);
    }
}

// A deduplicated lookup that may only be repeated within its cell stays there when the cache that had it is
// long gone.
TEST(Forgetting, ACacheLongGoneStillNamesTheCellOfItsSends) {
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
    // Its answer is owed: the record stays. When it has come, and a list after the longest warm-up, it goes.
    harness.advance(second * 30);
    harness.update_endpoints({first[0]});
    const std::size_t before = harness.callbacks.attempts.size();
    harness.end_attempt(at, Outcome::connection_reset);
    EXPECT_EQ(harness.callbacks.attempts.size(), before) << "sent again outside its cell";
    EXPECT_TRUE(harness.callbacks.violations.empty()) << harness.callbacks.violations.front();
}

}  // namespace
