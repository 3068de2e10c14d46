// What the decisions say of a send that has waited, when its first byte could go. Windows and ends of the
// process are forced on whole processes (crossing_test, leave_test).
#include "router_test_support.hpp"

using namespace irismux;
using namespace irismux::testing;

namespace {

const Duration second = Duration::seconds(1);

class Waiting : public ::testing::Test {
protected:
    Bench b;
    bool may_begin(std::size_t s) {
        return b.router.may_begin_attempt(b.now, b.port.sends[s].id, b.port.sends[s].n);
    }
    std::size_t last() const { return b.port.sends.size() - 1; }
    void TearDown() override { EXPECT_TRUE(b.port.broken.empty()) << b.port.broken.front(); }
};

TEST_F(Waiting, AClientThatHasLeftLetsNothingBegin) {
    ASSERT_TRUE(b.lookup(arrival("l", "x", b.now + second * 5)));
    EXPECT_TRUE(may_begin(last()));
    b.router.on_client_closed(b.now, lookup_named("l"));
    EXPECT_FALSE(may_begin(last()));
    b.port.open.clear();
}

// Of the cache or of the source: a gateway that has just heard of a start has nothing to spend, and a send
// that was judged once is not charged again.
TEST_F(Waiting, AStartToldMeanwhileHoldsItToItsBudget) {
    for (const bool source : {false, true}) {
        const std::string id = source ? "s" : "c";
        const SendSeen* s = b.lookup(arrival(id, "x", b.now + second * 30));
        ASSERT_TRUE(s);
        ASSERT_NE(s->fill.source, s->fill.cache);
        const std::size_t n = last();
        const CacheId again = source ? s->fill.source : s->fill.cache;
        EXPECT_TRUE(may_begin(n));
        b.pass(second);
        for (EndpointUpdate l : usual_list()) {
            if (l.cache != again) continue;
            l.started_at = b.now;
            b.list({l});
        }
        b.pass(Duration::micros(1000));
        EXPECT_FALSE(may_begin(n)) << again.raw();
        b.pass(second * 5);
        EXPECT_TRUE(may_begin(n) && may_begin(n)) << again.raw();
        b.answer(n, Outcome::completed, CacheStatus::filled);
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
    std::vector<EndpointUpdate> first = usual_list();
    first.resize(3);  // e1, e2 of cell 0 and e3 of cell 1
    first.push_back(usual_list()[5]);
    Bench b(d, 7, first);
    std::string name;
    for (int n = 0; name.empty(); ++n) {
        ASSERT_LT(n, 200);
        const std::string id = "o" + std::to_string(n);
        if (b.lookup(arrival(id, id, b.now + second * 200, 2))->fill.cache == CacheId{"e3"})
            name = id;
        else
            b.answer(b.port.sends.size() - 1, Outcome::completed, CacheStatus::filled);
    }
    const std::size_t at = b.port.sends.size() - 1;
    EndpointUpdate gone = first[2];
    gone.status = EndpointStatus::removed;
    b.list({gone});
    // Its answer is owed: the record stays. When it has come, and a list after the longest warm-up, it goes.
    b.pass(second * 30);
    b.list({first[0]});
    const std::size_t before = b.port.sends.size();
    b.answer(at, Outcome::connection_reset);
    EXPECT_EQ(b.port.sends.size(), before) << "sent again outside its cell";
    EXPECT_TRUE(b.port.broken.empty()) << b.port.broken.front();
}

}  // namespace
